"""Keep idle connections to servers for their next requests."""

from attrs import define, field

from jasminewheel._internal.web.answer_limits import AnswerMemoryPool
from jasminewheel._internal.web.client import HttpConnection, open_connection

# A request that may not be repeated takes no connection idle for longer.
FRESH_SECONDS = 1.5


@define(eq=False)
class ConnectionPool:
    """Hold idle connections by address, the last used on top."""

    idle: dict[str, list[HttpConnection]] = field(factory=dict)
    opened: int = 0
    # Shared by the answers that are read over the connections.
    memory_pool: AnswerMemoryPool = field(factory=AnswerMemoryPool)

    async def acquire(
        self, address: str, now: float, timeout_seconds: float, *, fresh: bool
    ) -> HttpConnection:
        """Return a connection; raise ConnectionLostError if none opens."""
        kept = self.idle.get(address, [])
        while kept:
            connection = kept.pop()
            old = fresh and now - connection.idle_since > FRESH_SECONDS
            if not old and connection.is_usable(now):
                return connection
            connection.close()
        self.opened += 1
        return await open_connection(address, timeout_seconds)

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection whose last exchange ended well."""
        self.idle.setdefault(connection.address, []).append(connection)

    def close_stale(self, now: float) -> None:
        """Close what has been idle for too long."""
        for address in list(self.idle):
            kept = self.idle[address]
            usable = [one for one in kept if one.is_usable(now)]
            for connection in kept:
                if connection not in usable:
                    connection.close()
            self.idle[address] = usable
            if not usable:
                self.idle.pop(address)
