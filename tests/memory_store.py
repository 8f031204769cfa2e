"""An in-memory store with lost answers and outages."""

from functools import partial

import trio
from attrs import define, field

from jasminewheel._internal.fakes.store_state import (
    RevisionConflict,
    StoreState,
    UnknownLease,
)
from jasminewheel._internal.store.client import StoredValue, StoreListing
from jasminewheel.errors import (
    LeaseEndedError,
    StoreConflictError,
    StoreUnavailableError,
)


@define
class MemoryStore:
    """Implement Store on the state of the fake store.

    Each item of `faults` applies to one call, in order: 'ok', 'down' (no
    effect) or 'lost' (effect, no answer); after the last one all calls succeed.
    """

    state: StoreState = field(factory=StoreState)
    faults: list[str] = field(factory=list)
    calls: int = 0
    watch_seconds: float = 30
    changed: trio.Event = field(factory=trio.Event)

    async def apply(self, change):
        """Run change with the next fault."""
        await trio.lowlevel.checkpoint()
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else 'ok'
        if fault == 'down':
            raise StoreUnavailableError('down')
        self.state.expire(trio.current_time())
        outcome = self.outcome_of(change)
        if fault == 'lost':
            raise StoreUnavailableError('answer lost')
        if isinstance(outcome, StoreConflictError):
            raise outcome
        return outcome

    def outcome_of(self, change):
        """Return the answer or the conflict, and wake up the watches."""
        try:
            return change()
        except RevisionConflict as error:
            return StoreConflictError(str(error))
        except UnknownLease as error:
            return LeaseEndedError(str(error))
        finally:
            self.changed.set()
            self.changed = trio.Event()

    async def get(self, key):
        """Return the value of key, or None."""
        found = await self.apply(partial(self.state.items.get, key))
        return found and StoredValue(found.key, found.value, found.revision)

    async def put(self, key, value, expected_revision, lease=''):
        """Write by compare-and-swap."""
        return await self.apply(
            partial(
                self.state.put, key, value, expected_revision, lease or None
            ),
        )

    async def delete(self, key, expected_revision):
        """Delete by compare-and-swap."""
        await self.apply(partial(self.state.delete, key, expected_revision))

    async def list(self, prefix):
        """Return all values below prefix."""
        return await self.apply(partial(self.listing, prefix))

    def listing(self, prefix):
        """Return the values below prefix with the current revision."""
        found = tuple(
            StoredValue(item.key, item.value, item.revision)
            for item in self.state.list(prefix)
        )
        return StoreListing(found, self.state.revision)

    async def watch(self, prefix, from_revision):
        """Wait for a change below prefix."""
        with trio.move_on_after(self.watch_seconds):
            while not self.state.has_changed_after(prefix, from_revision):
                await self.changed.wait()
        return await self.list(prefix)

    async def grant_lease(self, ttl_seconds):
        """Return a new lease."""
        now = trio.current_time()
        return await self.apply(partial(self.state.grant, ttl_seconds, now))

    async def renew_lease(self, lease):
        """Extend a lease."""
        now = trio.current_time()
        await self.apply(partial(self.state.renew, lease, now))

    async def revoke_lease(self, lease):
        """End a lease."""
        await self.apply(partial(self.state.revoke, lease))
