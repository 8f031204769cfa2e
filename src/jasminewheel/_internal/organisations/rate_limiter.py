"""Grant calls of organisations from a fixed share of their rates.

Each replica grants the same share of every rate from a bucket of its own, so
the sum over all replicas never exceeds the rate, whichever of them can reach
each other. A replica that is lost takes its share with it until the replica
set is changed; the replica that follows it begins once the lost one has
certainly stopped.
"""

import math
from collections.abc import Mapping

from attrs import define, field, frozen

from jasminewheel._internal.organisations.organisation import (
    Organisation,
    RateTolerance,
)


@frozen
class Grant:
    """Represent calls that may be passed on, counted from the question."""

    calls: int
    retry_after_seconds: float = 0


@define(eq=False)
class RateBucket:
    """Hold the calls that one replica may grant for one organisation."""

    rate: float
    capacity: float
    updated_at: float
    # A bucket begins empty: another one may have granted its calls before.
    calls: float = 0

    def refill(self, now: float) -> None:
        """Add what the rate allowed since the last time."""
        added = (now - self.updated_at) * self.rate
        self.calls = min(self.capacity, self.calls + max(0, added))
        self.updated_at = now

    def take(self, wanted: int) -> int:
        """Take up to the wanted number of calls, and return how many."""
        taken = min(wanted, int(self.calls))
        self.calls -= taken
        return taken

    def give_back(self, count: int) -> None:
        """Add calls that were granted and not used."""
        self.calls = min(self.capacity, self.calls + count)

    def seconds_until_one(self) -> float:
        """Return after how long a call may be taken."""
        return max(0, 1 - self.calls) / self.rate


@define(eq=False)
class RateLimiter:
    """Grant calls from this replica's share of each rate."""

    started_at: float
    tolerance: RateTolerance = field(factory=RateTolerance)
    organisations: Mapping[str, Organisation] = field(factory=dict)
    # Replicas that share each rate; zero while this one is none of them.
    replicas: int = 0
    # Before this, the predecessor of this replica may still grant.
    begins_at: float = math.inf
    buckets: dict[str, RateBucket] = field(factory=dict)

    def apply_rates(self, organisations: Mapping[str, Organisation]) -> None:
        """Apply changed rates; what is saved up shrinks with them."""
        self.organisations = organisations
        for name in list(self.buckets):
            self.resize(name)

    def apply_share(self, replicas: int, begins_at: float) -> None:
        """Apply how many replicas share the rates, and when this one begins."""
        self.replicas = replicas
        self.begins_at = begins_at
        for name in list(self.buckets):
            self.resize(name)

    def resize(self, name: str) -> None:
        """Apply the present rate and share to a bucket."""
        organisation = self.organisations.get(name)
        if not self.replicas or organisation is None or not organisation.rate:
            self.buckets.pop(name, None)
            return
        bucket = self.buckets[name]
        bucket.rate = organisation.rate / self.replicas
        bucket.capacity = self.capacity(organisation)
        bucket.calls = min(bucket.calls, bucket.capacity)

    def capacity(self, organisation: Organisation) -> float:
        """Return how many calls this replica may save up."""
        return max(1, self.tolerance.capacity(organisation) / self.replicas)

    def grant(self, name: str, wanted: int, returned: int, now: float) -> Grant:
        """Return what an entry may pass on of an organisation's calls.

        The calls that it returns are granted again.
        """
        if not self.replicas or now < self.begins_at:
            return Grant(0)
        organisation = self.organisations.get(name)
        if organisation is None:
            return Grant(0)
        if not organisation.rate:
            return Grant(wanted)
        bucket = self.bucket(organisation, now)
        bucket.refill(now)
        bucket.give_back(returned)
        calls = bucket.take(wanted)
        retry_after = 0 if calls else bucket.seconds_until_one()
        return Grant(calls, retry_after)

    def bucket(self, organisation: Organisation, now: float) -> RateBucket:
        """Return the bucket of an organisation.

        A new one has filled since this replica began.
        """
        found = self.buckets.get(organisation.name)
        if found is None:
            found = RateBucket(
                organisation.rate / self.replicas,
                self.capacity(organisation),
                max(self.begins_at, self.started_at),
            )
            self.buckets[organisation.name] = found
        return found
