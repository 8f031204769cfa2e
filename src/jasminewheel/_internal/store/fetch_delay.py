"""Spread the processes that turn to the store at the same moment."""

from zlib import crc32

from attrs import frozen

# All followers lose a reader at the same moment when the store is away from the
# readers. Those of a large fleet turn to the store one after the other, spread
# over the time in which it could send each of them the largest value, at most
# this long.
FETCH_BYTES_PER_SECOND = 12500000
MAX_SPREAD_SECONDS = 1.5
# How long a process that has items waits for a reader's before it reads all
# keys of the store: at least so long, and so much longer by its address. All
# followers need them at once, and the readers do first.
READ_ALL_DELAY_SECONDS = 1.0
READ_ALL_SPREAD_SECONDS = 2.0
_HASH_RANGE = 4294967296


@frozen
class FetchDelay:
    """Tell how long a process leaves the store to others."""

    address: str

    @property
    def position(self) -> float:
        """Return a number from 0 to 1 that differs between processes."""
        return crc32(self.address.encode()) / _HASH_RANGE

    def watch_seconds(self, followers: int, largest_bytes: int) -> float:
        """Return how long it does not watch the store itself."""
        needed = followers * largest_bytes / FETCH_BYTES_PER_SECOND
        return self.position * min(needed, MAX_SPREAD_SECONDS)

    def read_all_seconds(self) -> float:
        """Return how long it waits for a reader's keys after a loss."""
        return READ_ALL_DELAY_SECONDS + self.position * READ_ALL_SPREAD_SECONDS
