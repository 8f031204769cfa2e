"""Hold the calls that limiters granted to an entry for one organisation.

An entry that sees many calls of an organisation asks for as many at once as it
expects before the grant ends. One that sees few asks for each: what it held
would be missing elsewhere.
"""

import math

import trio
from attrs import define, field

from jasminewheel._internal.organisations.organisation import GRANT_SECONDS

# Weight of the newest interval in the expected rate of calls.
NEWEST_WEIGHT = 0.3
# A longer pause tells no more about the rate of calls.
MAX_INTERVAL_SECONDS = 2.0
MAX_EXPECTED = 64
# Calls in quick succession count as one each in this time.
LEAST_INTERVAL_SECONDS = 0.01


@define(eq=False)
class CallDemand:
    """Estimate how many calls of an organisation reach this entry."""

    interval_seconds: float = MAX_INTERVAL_SECONDS
    last_at: float = -math.inf

    def record(self, now: float) -> None:
        """Record a call."""
        since = min(MAX_INTERVAL_SECONDS, now - self.last_at)
        since = max(LEAST_INTERVAL_SECONDS, since)
        self.interval_seconds += NEWEST_WEIGHT * (since - self.interval_seconds)
        self.last_at = now

    def expected(self, seconds: float) -> int:
        """Return how many more calls are expected within a time."""
        return min(MAX_EXPECTED, int(seconds / self.interval_seconds))


@define(eq=False)
class HeldGrant:
    """Represent granted calls that are left, and who granted them."""

    address: str
    calls: int
    ends_at: float


@define(eq=False)
class HeldCalls:
    """Track the calls of one organisation that may be passed on."""

    demand: CallDemand = field(factory=CallDemand)
    grants: list[HeldGrant] = field(factory=list)
    # Until when each limiter has nothing to grant.
    empty_until: dict[str, float] = field(factory=dict)
    # Held while calls are asked for.
    lock: trio.Lock = field(factory=trio.Lock)

    def spend(self, now: float) -> bool:
        """Use the call that ends first; return False if none is held."""
        self.drop_ended(now)
        if not self.grants:
            return False
        first = min(self.grants, key=_ends_at)
        first.calls -= 1
        if not first.calls:
            self.grants.remove(first)
        return True

    def drop_ended(self, now: float) -> None:
        """Drop the grants that have ended."""
        self.grants = [one for one in self.grants if one.ends_at > now]

    def take_back(self, address: str, now: float) -> int:
        """Give up the calls that a limiter granted; return how many."""
        self.drop_ended(now)
        given_up = [one for one in self.grants if one.address == address]
        self.grants = [one for one in self.grants if one.address != address]
        return sum(one.calls for one in given_up)

    def add(self, address: str, calls: int, asked_at: float) -> None:
        """Hold granted calls, from when they were asked for."""
        self.empty_until.pop(address, None)
        if calls:
            ends_at = asked_at + GRANT_SECONDS
            self.grants.append(HeldGrant(address, calls, ends_at))

    def is_empty(self, address: str, now: float) -> bool:
        """Return whether a limiter is known to have nothing to grant."""
        return now < self.empty_until.get(address, now)

    def expected(self) -> int:
        """Return how many calls to hold beside those that wait."""
        return self.demand.expected(GRANT_SECONDS)

    def retry_seconds(self, now: float) -> float:
        """Return after how long the first limiter may grant a call."""
        return max(0, min(self.empty_until.values(), default=now) - now)


def _ends_at(grant: HeldGrant) -> float:
    return grant.ends_at
