"""Share the memory of a process among the requests that clients send to it.

This answers clients that send much and end nothing: requests near the limits
of size that come in great numbers, stop short of their end and stay open.
"""

from collections.abc import Callable

from attrs import define, field, frozen
from attrs.validators import ge

# What a connection takes by itself: its tasks, socket and parser.
CONNECTION_BYTES = 16384
# A client that holds more is one of the large ones, which share a part of the
# memory, so that ordinary requests always find room beside them.
SMALL_BYTES = 65536
LARGE_SHARE = 0.75
# A request yields its memory if its latest progress is older: a client that
# is still sending pauses for a shorter time.
STALLED_SECONDS = 1.0
# Bytes that have to arrive to count as progress.
PROGRESS_BYTES = 16384
# Clients get this part of the memory of a process, one quarter.
CLIENTS_MEMORY_PART = 4
# Descriptors that are left for files, and the share of the others that clients
# may take; runners, peers and the store need the rest.
FILE_DESCRIPTORS = 200
# Limits of a process whose memory and descriptors are not known: 32 MiB.
MEMORY_BYTES = 33554432
CONNECTIONS = 2048
CLIENTS_DESCRIPTOR_SHARE = 0.75


@define(eq=False)
class ClientAccount:
    """Track what one connection of a client holds, and its progress."""

    # Whether none of the client's requests is being answered.
    may_yield: Callable[[], bool]
    # Refuses the unfinished request and closes the connection.
    yield_room: Callable[[], None]
    # When the client last sent enough or was answered.
    progressed_at: float
    held_bytes: int = 0
    # Bytes received since the latest progress.
    received_bytes: int = 0

    def receive(self, count: int, now: float) -> None:
        """Record received bytes."""
        self.received_bytes += count
        if self.received_bytes >= PROGRESS_BYTES:
            self.record_progress(now)

    def record_progress(self, now: float) -> None:
        """Record that the client sent enough, or was answered."""
        self.progressed_at = now
        self.received_bytes = 0

    def is_stalled(self, now: float) -> bool:
        """Return whether the client may yield and makes no progress."""
        return self.may_yield() and now - self.progressed_at > STALLED_SECONDS


@frozen
class ClientLimits:
    """Limit what all clients of a process together may hold."""

    memory_bytes: int = field(default=MEMORY_BYTES, validator=ge(1))
    connections: int = field(default=CONNECTIONS, validator=ge(1))


@define(eq=False)
class ClientMemory:
    """Account for what clients hold, and choose who yields when it is full."""

    limits: ClientLimits = field(factory=ClientLimits)
    accounts: set[ClientAccount] = field(factory=set)
    used_bytes: int = 0
    # Clients whose connection or unfinished request made room for others.
    yielded: int = 0
    # Requests and connections for which nobody yielded.
    refused: int = 0

    def open(self, account: ClientAccount, now: float) -> bool:
        """Add a connection; return False if there is no room for it."""
        if len(self.accounts) >= self.limits.connections:
            stalled = [one for one in self.accounts if one.is_stalled(now)]
            if not stalled:
                self.refused += 1
                return False
            self.let_yield(min(stalled, key=_progressed_at))
        self.accounts.add(account)
        return self.resize(account, CONNECTION_BYTES, now)

    def resize(self, account: ClientAccount, size: int, now: float) -> bool:
        """Set what a client holds; return False if there is no room for it.

        The client then holds nothing.
        """
        added = size - account.held_bytes
        missing = self.used_bytes + added - self.ceiling(size)
        if added > 0 and missing > 0:
            yielding = self.yielding_first(account, size, now)
            if not self.make_room(yielding, missing):
                self.refused += 1
                self.close(account)
                return False
        self.used_bytes += added
        account.held_bytes = size
        return True

    def ceiling(self, size: int) -> int:
        """Return how much may be in use when a client holds that much."""
        share = LARGE_SHARE if size > SMALL_BYTES else 1
        return int(self.limits.memory_bytes * share)

    def yielding_first(
        self, account: ClientAccount, size: int, now: float
    ) -> list[ClientAccount]:
        """Return who yields to a client that is to hold a size, in order.

        Small ones yield only to small ones, and after the large ones.
        """
        stalled = [
            one
            for one in self.accounts
            if one is not account and one.is_stalled(now)
        ]
        stalled.sort(key=_progressed_at)
        large = [one for one in stalled if one.held_bytes > SMALL_BYTES]
        if size > SMALL_BYTES:
            return large
        return large + [one for one in stalled if one.held_bytes <= SMALL_BYTES]

    def make_room(self, yielding: list[ClientAccount], missing: int) -> bool:
        """Let clients yield until enough is free; return whether it is.

        None yields if all of them together hold too little.
        """
        if sum(one.held_bytes for one in yielding) < missing:
            return False
        enough_at = self.used_bytes - missing
        for account in yielding:
            if self.used_bytes > enough_at:
                self.let_yield(account)
        return True

    def let_yield(self, account: ClientAccount) -> None:
        """Free what a client holds, and let it know."""
        self.yielded += 1
        self.close(account)
        account.yield_room()

    def close(self, account: ClientAccount) -> None:
        """Remove a connection with all that it holds."""
        self.accounts.discard(account)
        self.used_bytes -= account.held_bytes
        account.held_bytes = 0

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges on clients."""
        return {
            'client_connections': len(self.accounts),
            'client_memory_bytes': self.used_bytes,
            'clients_yielded': self.yielded,
            'clients_refused': self.refused,
        }


def _progressed_at(account: ClientAccount) -> float:
    return account.progressed_at


def memory_for(memory_bytes: int, descriptors: int) -> ClientMemory:
    """Return the memory for clients of a process with such limits."""
    shared = max(1, descriptors - FILE_DESCRIPTORS)
    limits = ClientLimits(
        max(1, memory_bytes // CLIENTS_MEMORY_PART),
        max(1, int(shared * CLIENTS_DESCRIPTOR_SHARE)),
    )
    return ClientMemory(limits)
