"""Choose the process whose reading of the store this one follows."""

import math
from collections.abc import Callable, Sequence
from zlib import crc32

from attrs import define, field, frozen

from jasminewheel._internal.peer.distance import Distance

# How long a reader that failed at once is passed over: it may just be starting
# or getting through to the store again.
AWAY_SECONDS = 0.5
# How long one that took long to fail is passed over.
FAILED_SECONDS = 5.0


@frozen
class Reader:
    """Represent a process that watches the store, and its zone if known."""

    address: str
    zone: str = ''


@define(eq=False)
class ReaderChoice:
    """Order the readers by distance, without those that failed just now.

    Readers at the same distance are spread over their followers.
    """

    # Where peers reach this process.
    own_address: str
    distance: Distance
    listed: Callable[[], Sequence[Reader]]
    # How many processes follow the readers, as far as is known.
    followers: Callable[[], int] = int
    # Until when a reader is passed over, by its address.
    avoided_until: dict[str, float] = field(factory=dict)

    def usable(self, now: float) -> list[Reader]:
        """Return the readers to follow, the best one first."""
        listed = sorted(self.listed(), key=lambda one: one.address)
        start = crc32(self.own_address.encode()) % max(1, len(listed))
        found = [
            one
            for one in listed[start:] + listed[:start]
            if self.avoided_until.get(one.address, -math.inf) <= now
        ]
        return sorted(found, key=lambda one: self.distance(one.zone))

    def others(self) -> list[Reader]:
        """Return the readers except for this process."""
        return [one for one in self.listed() if one.address != self.own_address]

    def is_own(self) -> bool:
        """Return whether this process is a reader itself."""
        return any(one.address == self.own_address for one in self.listed())

    def count(self) -> int:
        """Return how many readers are listed."""
        return len(self.listed())

    def avoid(self, reader: Reader, until: float) -> None:
        """Pass over a reader until a time."""
        self.avoided_until[reader.address] = until
