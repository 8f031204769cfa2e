"""Track how current and how complete the known store contents are."""

import math

from attrs import define, field

from jasminewheel._internal.store.proof import ContentsProof

# After an outage of the store, processes whose keys expired write them again
# within this time; a key that is missing later was removed.
REREGISTRATION_SECONDS = 2.0
# Default heartbeat interval. A key expires only after several intervals
# without a heartbeat of its writer.
HEARTBEAT_SECONDS = 1.2


def rounded_seconds(seconds: float) -> float | None:
    """Return a duration in ms precision; None if it is unknown."""
    return round(seconds, 3) if math.isfinite(seconds) else None


@define(eq=False)
class StoreContact:
    """Track the newest known revision of the store and whether it is settled.

    The known contents are settled if a missing key was removed, and unsettled
    if it may only have expired during an outage of the store.
    """

    heartbeat_seconds: float = HEARTBEAT_SECONDS
    # Changes up to this revision are known.
    revision: int = 0
    # When the store, or another process on its behalf, last reported.
    reported_at: float = 0
    # When the store answered whoever read it for that report.
    read_at: float = 0
    # When a part of a reply last arrived that is not whole yet.
    arrived_at: float = -math.inf
    lost_at: float | None = None
    # Whether the known contents were unsettled at lost_at.
    unsettled_at_loss: bool = False
    settled_at: float = -math.inf
    # When this process first read the store itself.
    first_read_at: float = math.inf
    proof: ContentsProof = field(factory=ContentsProof)

    def record_read(
        self, revision: int, now: float, *, age_seconds: float = 0
    ) -> float:
        """Record a read; return the seconds of the outage that it ended, or 0.

        No key expires in an outage shorter than a heartbeat interval.
        """
        outage_seconds = 0 if self.lost_at is None else now - self.lost_at
        if outage_seconds >= self.heartbeat_seconds or self.unsettled_at_loss:
            self.settled_at = now + REREGISTRATION_SECONDS
        elif self.settled_at == math.inf:
            # Only the report of another process was unsettled.
            self.settled_at = now
        self.lost_at = None
        self.unsettled_at_loss = False
        self.first_read_at = min(self.first_read_at, now)
        self.record_revision(revision, now, age_seconds)
        return outage_seconds

    def record_report(
        self, revision: int, now: float, *, settled: bool
    ) -> None:
        """Record a newer revision that another process reported."""
        self.settled_at = now if settled else math.inf
        self.record_revision(revision, now)

    def record_revision(
        self, revision: int, now: float, age_seconds: float = 0
    ) -> None:
        """Record that the contents as of a revision were reported."""
        self.revision = max(self.revision, revision)
        self.reported_at = now
        self.read_at = max(self.read_at, now - age_seconds)

    def record_loss(self, now: float, *, no_response: bool) -> None:
        """Record that the store does not answer.

        If not even a refusal was received, the start of the outage is unknown.
        """
        if self.lost_at is None:
            self.lost_at = -math.inf if no_response else now
            self.unsettled_at_loss = not self.is_settled(now)
        if not self.is_settled(now):
            self.settled_at = math.inf

    def record_arrival(self, now: float) -> None:
        """Record that a part of a large reply has arrived."""
        self.arrived_at = now

    def answered_at(self) -> float:
        """Return when the store was last seen to answer."""
        return max(self.read_at, self.arrived_at)

    def lost_silently(self) -> bool:
        """Return whether the start of the present outage is unknown."""
        return self.lost_at == -math.inf

    def confirm_settled(self, revision: int, now: float) -> bool:
        """Mark a revision as settled; return whether it was unsettled."""
        if revision < self.revision or self.is_settled(now):
            return False
        self.settled_at = now
        return True

    def record_unsettled(self) -> None:
        """Record that whoever read the store cannot call it settled."""
        self.settled_at = math.inf

    def is_settled(self, now: float) -> bool:
        """Return whether a missing key is known to have been removed."""
        return now >= self.settled_at

    def absences_settled_at(self) -> float:
        """Return from when on a missing key was certainly removed.

        A process that has just started may have missed the end of an outage,
        so keys may still be written again for a while after its first read.
        """
        return max(self.settled_at, self.first_read_at + REREGISTRATION_SECONDS)

    def can_confirm_settled(self, now: float) -> bool:
        """Return whether this process may report its contents as settled."""
        return now >= self.absences_settled_at()

    def report_age(self, now: float) -> float:
        """Return the seconds since the last report."""
        return now - self.reported_at

    def read_age(self, now: float) -> float:
        """Return the seconds since the store answered who last reported."""
        return now - self.read_at
