"""Check the key of a member against writes that the store executes late."""

from collections.abc import Callable
from contextlib import suppress
from functools import partial

import trio
from attrs import define
from memory_store import MemoryStore

from jasminewheel._internal.membership.lease import VmLease, parse_member
from jasminewheel._internal.membership.member import ENTRY, Member
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.membership.table import MemberTable
from jasminewheel.errors import StoreConflictError, StoreUnavailableError

KEY = 'members/own'


@define(eq=False)
class LateMemoryStore(MemoryStore):
    """Lose the first write, and execute it when asked to."""

    held: Callable | None = None

    async def put(self, *arguments, **named):
        """Write by compare-and-swap; the first time, hold the write."""
        write = partial(super().put, *arguments, **named)
        if self.held is None:
            self.held = write
            raise StoreUnavailableError('answer lost')
        return await write()

    async def execute_held(self):
        """Execute the write that was held, if its condition still holds."""
        with suppress(StoreConflictError):
            await self.held()


def _lease(store: MemoryStore, incarnation: int) -> VmLease:
    member = Member('own', incarnation, 'z', 'r', 'h:1', (ENTRY,))
    return VmLease(store, Membership(MemberTable(member, incarnation)))


def test_late_write_of_a_former_process_has_no_effect():
    """The key of a member that has started again is that of the new process."""
    store = LateMemoryStore()

    async def scenario() -> None:
        with suppress(StoreUnavailableError):
            await _lease(store, 1).renew()
        await _lease(store, 2).renew()
        await store.execute_held()

    trio.run(scenario)
    stored = parse_member(store.state.items[KEY].value)
    assert stored.incarnation == 2


def test_member_replaces_the_key_of_its_former_process():
    """A key that a former process left does not keep the next one out."""
    store = MemoryStore()

    async def scenario() -> None:
        await _lease(store, 1).renew()
        await _lease(store, 2).renew()

    trio.run(scenario)
    stored = parse_member(store.state.items[KEY].value)
    assert stored.incarnation == 2
