"""Check that the key of a running process stays in the store."""

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.conversation.entry_list import (
    LEASE_SECONDS,
    RENEW_SECONDS,
)
from jasminewheel._internal.store.leased_key import LeasedKey
from jasminewheel.errors import LeaseEndedError, StoreUnavailableError

CALL_SECONDS = 2.0


@define(eq=False)
class LeaseStore:
    """Grant one lease at a time, which runs out; calls may get no answer."""

    away_from: float
    away_seconds: float
    ends_at: float = 0
    granted: int = 0
    calls: list[float] = field(factory=list)

    async def reach(self) -> None:
        """Raise after a time while the store is away."""
        now = trio.current_time()
        self.calls.append(now)
        if 0 <= now - self.away_from < self.away_seconds:
            await trio.sleep(CALL_SECONDS)
            raise StoreUnavailableError('silent')

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Return a new lease."""
        await self.reach()
        self.granted += 1
        self.ends_at = trio.current_time() + ttl_seconds
        return str(self.granted)

    async def renew_lease(self, lease: str) -> None:
        """Extend the lease unless it has run out."""
        await self.reach()
        if trio.current_time() > self.ends_at:
            raise LeaseEndedError('the lease has ended')
        self.ends_at = trio.current_time() + LEASE_SECONDS

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease: str
    ) -> int:
        """Accept the key."""
        await self.reach()
        return 1


def _run(store: LeaseStore, seconds: float) -> None:
    async def run() -> None:
        key = LeasedKey(store, 'k', b'', LEASE_SECONDS, RENEW_SECONDS)
        with trio.move_on_after(seconds):
            await key.run()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def test_lease_outlasts_a_loss_shorter_than_itself():
    """A process that was cut for one or two renewals stays listed."""
    for away_from in range(5, 30):
        store = LeaseStore(away_from, 12)
        _run(store, 100)
        assert store.granted == 1


def test_renewals_in_an_outage_are_spread():
    """A store that is away is not called more than twice as often."""
    store = LeaseStore(5, 1000)
    _run(store, 200)
    assert len(store.calls) <= 2 + 2 * 200 / RENEW_SECONDS
