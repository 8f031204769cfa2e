"""Check that a write that the store executes late undoes no newer one.

A call to the store that gets no answer may be executed seconds later, after
newer calls of the same process and of the process that follows it.
"""

import json
from base64 import b64decode
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
import trio
from trio.testing import MockClock

from jasminewheel._internal.conversation.entry_list import (
    ENTRY_PREFIX,
    LEASE_SECONDS,
    ListedEntry,
)
from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.conversation.set_change import Candidate
from jasminewheel._internal.conversation.set_controller import DiskRegistration
from jasminewheel._internal.conversation.set_listener import DISK_PREFIX
from jasminewheel._internal.store.leased_key import LeasedKey
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel.errors import StoreUnavailableError
from jasminewheel.platform.retire import PlatformRetireBoard
from tests.late_calls import LostWrite
from tests.late_store import ANSWER_SECONDS, LateStore, late_store

DISK = Replica('d1', 'vm1', 'h:1', 'z')
NEW_DISK = Replica('d2', 'vm1', 'h:1', 'z')
DISK_KEY = f'{DISK_PREFIX}vm1'
ENTRY_KEY = f'{ENTRY_PREFIX}vm9'
STATUS_KEY = 'status/retire/vm1'
# A listing that expired in an outage is back this long after the outage.
REGISTERED_AGAIN_SECONDS = 2.0
# After a call without an answer it may be executed this much later.
LATEST_SECONDS = 6.0


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def _stored(store: LateStore, key: str) -> dict | None:
    item = store.stand_in.items.get(key)
    return item and json.loads(b64decode(item['Value']))


def _registration(store: LateStore, disk: Replica = DISK) -> DiskRegistration:
    return DiskRegistration(store, Candidate(disk))


@pytest.mark.parametrize('late', [1.0, 2.6, 3.1, 4.0, LATEST_SECONDS])
def test_late_registration_does_not_undo_a_copy(late):
    """A late first listing of a disk does not replace the one after the copy.

    With it stored, the change of the replica set that waits for the copy never
    ends, and the next lost disk ends all turns.
    """

    async def scenario() -> None:
        lost = LostWrite(DISK_KEY, [late])
        async with late_store(lost) as store, trio.open_nursery() as tasks:
            registration = _registration(store)
            tasks.start_soon(registration.leased_key.run)
            await trio.sleep(2.9)
            await registration.note_copied(7)
            await trio.sleep(LATEST_SECONDS)
            assert _stored(store, DISK_KEY)['copied_revision'] == 7
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_late_note_of_a_copy_does_not_undo_a_later_one():
    """Of two notes the one for the newer change stays, whichever gets lost."""

    async def scenario() -> None:
        lost = LostWrite(DISK_KEY, [])
        async with late_store(lost) as store, trio.open_nursery() as tasks:
            registration = _registration(store)
            tasks.start_soon(registration.leased_key.run)
            await trio.sleep(1.5)
            lost.late_seconds.append(5.0)
            tasks.start_soon(_ignore_loss, registration, 7)
            await trio.sleep(3)
            await registration.note_copied(9)
            await trio.sleep(LATEST_SECONDS)
            assert _stored(store, DISK_KEY)['copied_revision'] == 9
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_value_follows_an_earlier_one_whose_answer_was_lost():
    """A value that finds its predecessor stored replaces it.

    Both were written under the same condition, so the later one is refused.
    """

    async def scenario() -> None:
        lost = LostWrite('k', [])
        async with late_store(lost) as store, trio.open_nursery() as tasks:
            leased_key = LeasedKey(store, 'k', b'0', LEASE_SECONDS, 10)
            tasks.start_soon(leased_key.run)
            await trio.sleep(1)
            lost.late_seconds.extend([1, 60])
            with suppress(StoreUnavailableError):
                await leased_key.rewrite(b'1')
            await trio.sleep(1)
            await leased_key.rewrite(b'2')
            assert b64decode(store.stand_in.items['k']['Value']) == b'2'
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_value_set_while_another_is_written_is_written_next():
    """A value that comes while the one before is under way is not skipped."""

    async def scenario() -> None:
        async with late_store() as store, trio.open_nursery() as tasks:
            leased_key = LeasedKey(store, 'k', b'0', LEASE_SECONDS, 10)
            tasks.start_soon(leased_key.run)
            await trio.sleep(1.5 * ANSWER_SECONDS)
            await leased_key.rewrite(b'1')
            await trio.sleep(1)
            assert b64decode(store.stand_in.items['k']['Value']) == b'1'
            tasks.cancel_scope.cancel()

    _run(scenario)


async def _ignore_loss(registration: DiskRegistration, revision: int) -> None:
    with suppress(StoreUnavailableError):
        await registration.note_copied(revision)


def test_late_listing_of_a_former_disk_has_no_effect():
    """A late write of a killed process does not undo that of the next one.

    Another disk listed for the VM would start a change for a disk that is gone.
    """

    async def scenario() -> None:
        lost = LostWrite(DISK_KEY, [])
        async with late_store(lost) as store, trio.open_nursery() as tasks:
            former = _registration(store)
            with trio.move_on_after(1.5):
                await former.leased_key.run()
            lost.late_seconds.append(1.4)
            with trio.move_on_after(0.5):
                await former.note_copied(7)
            registration = _registration(store, NEW_DISK)
            tasks.start_soon(registration.leased_key.run)
            await trio.sleep(1.2)
            assert _stored(store, DISK_KEY)['replica']['disk_id'] == 'd2'
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_key_is_not_bound_to_a_former_lease():
    """An entry stays listed after a late listing of the process before it.

    The late listing would bind the key to the lease of a process that is gone,
    and the key would go with that lease, unnoticed by the running process.
    """
    listed = ListedEntry('vm9', 'h:9', 'z')

    async def scenario() -> None:
        lost = LostWrite(ENTRY_KEY, [2.0])
        async with late_store(lost) as store, trio.open_nursery() as tasks:
            with trio.move_on_after(0.5):
                await listed.listing(store).run()
            tasks.start_soon(listed.listing(store).run)
            while trio.current_time() < 2 * LEASE_SECONDS:
                await trio.sleep(1)
                store.stand_in.expire(trio.current_time())
                assert _stored(store, ENTRY_KEY)
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_removed_listing_is_written_again():
    """A listing that is gone from the store is back within two seconds."""

    async def scenario() -> None:
        async with late_store() as store, trio.open_nursery() as tasks:
            _keep_listed(store, ListedEntry('vm9', 'h:9', 'z'), tasks)
            await trio.sleep(3)
            while trio.current_time() < 20:
                store.stand_in.remove(ENTRY_KEY)
                await trio.sleep(REGISTERED_AGAIN_SECONDS)
                assert _stored(store, ENTRY_KEY)
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_copy_before_the_lease_is_noted_under_a_lease():
    """A disk that has copied before it has a lease is listed under one.

    A key without a lease lists a disk for good, also after its process ended.
    """

    async def scenario() -> None:
        async with late_store() as store, trio.open_nursery() as tasks:
            registration = _registration(store)
            await registration.note_copied(7)
            tasks.start_soon(registration.leased_key.run)
            await trio.sleep(2)
            assert _stored(store, DISK_KEY)['copied_revision'] == 7
            assert store.stand_in.items[DISK_KEY]['Lease']
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_two_processes_of_a_vm_overwrite_each_other_once():
    """The process that registers last keeps the key, until it ends."""

    async def scenario() -> None:
        async with late_store() as store, trio.open_nursery() as tasks:
            first = ListedEntry('vm9', 'h:1', 'z')
            second = ListedEntry('vm9', 'h:2', 'z')
            _keep_listed(store, first, tasks)
            await trio.sleep(3)
            async with trio.open_nursery() as later:
                _keep_listed(store, second, later)
                await trio.sleep(3)
                revision = store.stand_in.items[ENTRY_KEY]['Revision']
                await trio.sleep(60)
                assert store.stand_in.items[ENTRY_KEY]['Revision'] == revision
                assert _stored(store, ENTRY_KEY)['address'] == 'h:2'
                later.cancel_scope.cancel()
            await trio.sleep(LEASE_SECONDS + 3)
            assert _stored(store, ENTRY_KEY)['address'] == 'h:1'
            tasks.cancel_scope.cancel()

    _run(scenario)


def _keep_listed(
    store: LateStore, listed: ListedEntry, tasks: trio.Nursery
) -> None:
    leased_key = listed.listing(store)
    mirror = StoreMirror(store)
    leased_key.follow(mirror)
    tasks.start_soon(leased_key.run)
    tasks.start_soon(mirror.run)


@pytest.mark.parametrize('away_seconds', [31 + part / 4 for part in range(44)])
def test_listing_is_back_soon_after_an_outage(away_seconds):
    """A listing that expired while the store was away is back in two seconds.

    Its process may just have begun to wait before the next renewal.
    """

    async def scenario() -> None:
        async with late_store() as store, trio.open_nursery() as tasks:
            _keep_listed(store, ListedEntry('vm9', 'h:9', 'z'), tasks)
            await trio.sleep(3)
            store.silent = True
            await trio.sleep(away_seconds)
            store.silent = False
            store.stand_in.expire(trio.current_time())
            assert not _stored(store, ENTRY_KEY)
            await trio.sleep(REGISTERED_AGAIN_SECONDS)
            assert _stored(store, ENTRY_KEY)
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_late_progress_does_not_undo_a_retirement():
    """A VM that was reported as empty is not reported as being emptied again.

    The operator removes a VM at the first report that it is empty.
    """

    async def scenario() -> None:
        lost = LostWrite(STATUS_KEY, [3.0])
        async with late_store(lost) as store, trio.open_nursery() as tasks:
            board = PlatformRetireBoard(store)
            store.stand_in.write('op/retire/vm1', b'{"DurationS": 30}')
            tasks.start_soon(StoreMirror(store, [board]).run)
            await trio.sleep(0.5)
            with suppress(StoreUnavailableError):
                await board.report('vm1', done=False)
            await board.report('vm1', done=True)
            await trio.sleep(LATEST_SECONDS)
            assert _stored(store, STATUS_KEY) == {'State': 'completed'}
            tasks.cancel_scope.cancel()

    _run(scenario)


def test_process_that_lags_does_not_undo_a_retirement():
    """Of two processes that report in turn, the one behind reports no more."""

    async def scenario() -> None:
        async with late_store() as store:
            store.stand_in.write('op/retire/vm1', b'{"DurationS": 30}')
            first, second = (
                PlatformRetireBoard(store),
                PlatformRetireBoard(store),
            )
            mirror = StoreMirror(store, [first, second])
            await mirror.sync_once()
            await first.report('vm1', done=True)
            await second.report('vm1', done=False)
            await second.report('vm1', done=False)
            assert _stored(store, STATUS_KEY) == {'State': 'completed'}

    _run(scenario)


def test_vm_that_is_retired_again_is_reported_again():
    """A status of a former request does not stand for a later one."""

    async def scenario() -> None:
        async with late_store() as store, trio.open_nursery() as tasks:
            board = PlatformRetireBoard(store)
            tasks.start_soon(StoreMirror(store, [board]).run)
            store.stand_in.write('op/retire/vm1', b'{"DurationS": 30}')
            await trio.sleep(1)
            await board.report('vm1', done=True)
            store.stand_in.remove('op/retire/vm1')
            await trio.sleep(1)
            store.stand_in.write('op/retire/vm1', b'{"DurationS": 30}')
            await trio.sleep(1)
            await board.report('vm1', done=False)
            assert _stored(store, STATUS_KEY) == {'State': 'running'}
            tasks.cancel_scope.cancel()

    _run(scenario)
