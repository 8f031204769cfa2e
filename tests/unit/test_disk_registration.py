"""Check that a disk stays listed despite failing calls to the store."""

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.conversation.set_change import (
    ABSENCE_TIMEOUT_SECONDS,
    Candidate,
    SetView,
)
from jasminewheel._internal.conversation.set_controller import DiskRegistration
from jasminewheel._internal.conversation.set_listener import (
    DISK_PREFIX,
    SET_KEY,
    SetListener,
)
from jasminewheel._internal.store.contact import REREGISTRATION_SECONDS
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.port import StoreItem
from jasminewheel.errors import LeaseEndedError, StoreUnavailableError

REPLICA = Replica('d1', 'vm1', 'h:1', 'z')
OTHER = Replica('d2', 'vm2', 'h:2', 'z')


@define(eq=False)
class FailingStore:
    """Simulate a store whose first calls fail with the given faults."""

    faults: dict[str, list[Exception]]
    keys: dict[str, str] = field(factory=dict)
    leases: int = 0

    def raise_fault(self, call: str) -> None:
        """Raise the next fault of a call, if any is left."""
        waiting = self.faults.get(call)
        if waiting:
            raise waiting.pop(0)

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Grant a lease; earlier leases and their keys are dropped."""
        await trio.sleep(0)
        self.raise_fault('grant')
        self.leases += 1
        self.keys.clear()
        return str(self.leases)

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease."""
        await trio.sleep(0)
        self.raise_fault('renew')

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease: str = ''
    ) -> int:
        """Write a key under its lease."""
        await trio.sleep(0)
        self.raise_fault('put')
        self.keys[key] = lease
        return 1


def _run(seconds: float, faults: dict[str, list[Exception]]) -> FailingStore:
    store = FailingStore(faults)
    registration = DiskRegistration(store, Candidate(REPLICA))

    async def scenario() -> None:
        with trio.move_on_after(seconds):
            await registration.leased_key.run()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
    return store


def test_disk_is_listed_after_a_lost_write():
    """A failed write is retried under the current lease."""
    away = StoreUnavailableError('away')
    store = _run(5, {'put': [away], 'grant': [away]})
    assert store.keys == {f'{DISK_PREFIX}vm1': '1'}


def test_disk_is_listed_again_after_its_lease_ended():
    """An expired lease is replaced, and the disk is listed again."""
    store = _run(5, {'renew': [LeaseEndedError('ended')]})
    assert store.keys == {f'{DISK_PREFIX}vm1': '2'}


def _items(*replicas: Replica) -> dict[str, StoreItem]:
    stored = {
        DISK_PREFIX + one.vm: DiskRegistration(
            None, Candidate(one)
        ).listing_value()
        for one in replicas
    }
    members = ReplicaSet(1, (REPLICA, OTHER)).to_text()
    written = {**stored, SET_KEY: members.encode()}
    return {key: StoreItem(key, one, 1) for key, one in written.items()}


def _mirror_of(listener: SetListener) -> StoreMirror:
    return StoreMirror(None, [listener], contact=listener.contact)


def _read(mirror: StoreMirror, *listed: Replica) -> None:
    mirror.record_read(1)
    mirror.apply_snapshot(_items(*listed).values(), 1)


def test_disk_that_lapsed_with_the_store_is_not_replaced():
    """A live disk is not replaced while it lists itself again.

    Its listing expires while the store is unavailable. Counting it as absent
    right after the store's return would start a copy to a free disk.
    """
    listener = SetListener()
    mirror = _mirror_of(listener)

    async def scenario() -> None:
        _read(mirror, REPLICA, OTHER)
        mirror.record_loss(StoreUnavailableError('away'))
        await trio.sleep(5)
        _read(mirror, REPLICA)
        await trio.sleep(REREGISTRATION_SECONDS - 0.1)
        assert not _absent(listener)
        await trio.sleep(REREGISTRATION_SECONDS)
        assert _absent(listener)

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_disk_that_lapsed_before_a_start_is_not_replaced():
    """A process that starts right after an outage waits for listings too."""
    listener = SetListener()

    async def scenario() -> None:
        _read(_mirror_of(listener), REPLICA)
        await trio.sleep(REREGISTRATION_SECONDS - 0.1)
        assert not _absent(listener)
        await trio.sleep(REREGISTRATION_SECONDS)
        assert _absent(listener)

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_disk_that_leaves_in_calm_is_soon_replaced():
    """Without an outage only the absence timeout has to pass."""
    listener = SetListener()

    async def scenario() -> None:
        mirror = _mirror_of(listener)
        _read(mirror, REPLICA, OTHER)
        await trio.sleep(5)
        _read(mirror, REPLICA)
        await trio.sleep(ABSENCE_TIMEOUT_SECONDS - 0.1)
        assert not _absent(listener)
        await trio.sleep(0.1)
        assert _absent(listener)

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def _absent(listener: SetListener) -> bool:
    view = SetView(
        listener.holder.current,
        listener.candidates,
        listener.absent_since,
        frozenset(),
        3,
        may_bootstrap=False,
        started_at=0,
        absences_settled_at=listener.contact.absences_settled_at(),
    )
    return view.is_absent(OTHER, trio.current_time())
