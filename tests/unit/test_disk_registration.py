"""Check that a disk is listed however its calls to the store fail."""

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.conversation.set_change import Candidate
from jasminewheel._internal.conversation.set_keeper import DiskRegistration
from jasminewheel._internal.conversation.set_listener import DISK_PREFIX
from jasminewheel.errors import StoreConflictError, StoreUnavailableError

REPLICA = Replica('d1', 'vm1', 'h:1', 'z')


@define(eq=False)
class FailingStore:
    """Fail the first calls of a kind, as listed."""

    faults: dict[str, list[Exception]]
    keys: dict[str, str] = field(factory=dict)
    leases: int = 0

    def meet(self, call: str) -> None:
        """Raise the next fault of a call."""
        waiting = self.faults.get(call)
        if waiting:
            raise waiting.pop(0)

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Grant a lease; those before have ended."""
        await trio.sleep(0)
        self.meet('grant')
        self.leases += 1
        self.keys.clear()
        return str(self.leases)

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease."""
        await trio.sleep(0)
        self.meet('renew')

    async def put(self, key: str, written: bytes, *, lease: str = '') -> int:
        """Write a key under its lease."""
        await trio.sleep(0)
        self.meet('put')
        self.keys[key] = lease
        return 1


def _run(seconds: float, faults: dict[str, list[Exception]]) -> FailingStore:
    store = FailingStore(faults)
    registration = DiskRegistration(store, Candidate(REPLICA))

    async def scenario() -> None:
        with trio.move_on_after(seconds):
            await registration.listing.run()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
    return store


def test_disk_is_listed_after_a_lost_write():
    """A write that failed is made again, under the lease that holds."""
    away = StoreUnavailableError('away')
    store = _run(5, {'put': [away], 'grant': [away]})
    assert store.keys == {f'{DISK_PREFIX}vm1': '1'}


def test_disk_is_listed_again_after_its_lease_ended():
    """A lease that ended is replaced, and the disk written anew."""
    store = _run(5, {'renew': [StoreConflictError('ended')]})
    assert store.keys == {f'{DISK_PREFIX}vm1': '2'}
