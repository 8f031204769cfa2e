"""Prove since when the known contents of the store may be outdated."""

import math
import time

from attrs import define


def boot_seconds() -> float:
    """Return the seconds since the VM started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@define(eq=False)
class ContentsProof:
    """Track when the known contents were certainly the newest.

    That is when they were asked for, not when they arrived: a reply may be
    held up on its way. Times are those of boot_seconds, as a process that was
    suspended must not take what it knows for current.
    """

    newest_at: float = -math.inf

    def record(self, asked_at: float, age_seconds: float = 0) -> None:
        """Record contents that were proven this long before they were asked."""
        self.newest_at = max(self.newest_at, asked_at - age_seconds)

    def age(self, now: float) -> float:
        """Return for how many seconds newer contents may have been missed."""
        return now - self.newest_at
