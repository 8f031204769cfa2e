"""Reuse idle connections to servers."""

from attrs import define, field

from jasminewheel._internal.web.answer_limits import AnswerMemoryPool
from jasminewheel._internal.web.client import HttpConnection, open_connection
from jasminewheel._internal.web.work_share import WorkShare

# A request that must not be repeated uses no connection idle for longer, as the
# server may be about to close it.
FRESH_SECONDS = 1.5


# Large answers share this part of the memory of a process, one sixteenth.
ANSWERS_MEMORY_PART = 16


@define(eq=False)
class ConnectionPool:
    """Pool idle connections by address, the most recently used last."""

    idle: dict[str, list[HttpConnection]] = field(factory=dict)
    opened: int = 0
    # Shared by all answers that are read over the connections.
    memory_pool: AnswerMemoryPool = field(factory=AnswerMemoryPool)
    share: WorkShare = field(factory=WorkShare)

    async def acquire(
        self, address: str, now: float, timeout_seconds: float, *, fresh: bool
    ) -> HttpConnection:
        """Return an idle connection, or open one.

        With fresh set, only connections that were used recently are reused.
        Raise ConnectionLostError if none can be opened.
        """
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            old = fresh and now - connection.idle_since > FRESH_SECONDS
            if not old and connection.is_usable(now):
                return connection
            connection.close()
        self.opened += 1
        connection = await open_connection(address, timeout_seconds)
        connection.share = self.share
        return connection

    def release(self, connection: HttpConnection) -> None:
        """Return a reusable connection to the pool."""
        self.idle.setdefault(connection.address, []).append(connection)

    def close_stale(self, now: float) -> None:
        """Close the connections that can no longer be used."""
        for address in list(self.idle):
            idle = self.idle[address]
            usable = [one for one in idle if one.is_usable(now)]
            for connection in idle:
                if connection not in usable:
                    connection.close()
            self.idle[address] = usable
            if not usable:
                self.idle.pop(address)


def pool_for_memory(memory_bytes: int) -> ConnectionPool:
    """Return a pool for a process that may use so much memory."""
    shared = AnswerMemoryPool(memory_bytes // ANSWERS_MEMORY_PART)
    return ConnectionPool(memory_pool=shared)
