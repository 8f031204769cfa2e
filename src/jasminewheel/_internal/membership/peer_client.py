"""Define the peer requests that membership and configuration need."""

from typing import Any, Protocol, TypeVar

ReplyT = TypeVar('ReplyT')


class PeerClient(Protocol):
    """Send requests to peers."""

    async def ask(
        self,
        address: str,
        message: Any,
        reply_kind: type[ReplyT],
        *,
        timeout_seconds: float,
    ) -> ReplyT:
        """Return the peer's reply; raise PeerError if there is none."""
