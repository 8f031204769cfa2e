"""Hold what a process knows of the store, and whether that is settled."""

import math

from attrs import define

# After the store was away, those whose keys lapsed write them again in this
# time; a key that is missing later is gone.
REREGISTRATION_SECONDS = 2.0
# A key lapses after several times this without a sign of its writer.
HEARTBEAT_SECONDS = 1.2


def rounded(seconds: float) -> float | None:
    """Return a time for the log; None if it is not known."""
    return round(seconds, 3) if math.isfinite(seconds) else None


@define(eq=False)
class StoreContact:
    """Hold up to which revision the store is known, and how well.

    What is known is settled if a missing key was removed, and unsettled if
    it may have lapsed while the store was away.
    """

    heartbeat_seconds: float = HEARTBEAT_SECONDS
    # Up to which revision changes are known.
    revision: int = 0
    # When the store, or another process for it, last told something.
    reported_at: float = 0
    lost_at: float | None = None
    # What was known then had not settled.
    unsettled_at_loss: bool = False
    settled_at: float = -math.inf
    # When the store itself answered for the first time.
    first_read_at: float = math.inf

    def record_read(self, revision: int, now: float) -> float:
        """Note an answer of the store; return for how long none had come.

        A loss shorter than a heartbeat makes no key lapse.
        """
        outage_seconds = 0 if self.lost_at is None else now - self.lost_at
        if outage_seconds >= self.heartbeat_seconds or self.unsettled_at_loss:
            self.settled_at = now + REREGISTRATION_SECONDS
        elif self.settled_at == math.inf:
            # Only what another process told was in doubt.
            self.settled_at = now
        self.lost_at = None
        self.unsettled_at_loss = False
        self.first_read_at = min(self.first_read_at, now)
        self.record_revision(revision, now)
        return outage_seconds

    def record_report(
        self, revision: int, now: float, *, settled: bool
    ) -> None:
        """Note what another process told for the store."""
        self.settled_at = now if settled else math.inf
        self.record_revision(revision, now)

    def record_revision(self, revision: int, now: float) -> None:
        """Note that something was told."""
        self.revision = max(self.revision, revision)
        self.reported_at = now

    def record_loss(self, now: float, *, silent: bool) -> None:
        """Note that the store does not answer.

        Of one that is silent it is not known since when.
        """
        if self.lost_at is None:
            self.lost_at = -math.inf if silent else now
            self.unsettled_at_loss = not self.is_settled(now)
        if not self.is_settled(now):
            self.settled_at = math.inf

    def confirm_settled(self, revision: int, now: float) -> bool:
        """Take it that a revision is settled; tell whether that is news."""
        if revision < self.revision or self.is_settled(now):
            return False
        self.settled_at = now
        return True

    def is_settled(self, now: float) -> bool:
        """Tell whether a missing key was removed."""
        return now >= self.settled_at

    def can_confirm_settled(self, now: float) -> bool:
        """Tell whether others may take it that what is known is settled.

        Who started just now may have missed the end of an outage.
        """
        long_read = now >= self.first_read_at + REREGISTRATION_SECONDS
        return long_read and self.is_settled(now)

    def age(self, now: float) -> float:
        """Return how long ago something was told."""
        return now - self.reported_at
