"""Name what membership and configuration need of the connections to peers."""

from typing import Any, Protocol, TypeVar

ReplyT = TypeVar('ReplyT')


class PeerClient(Protocol):
    """Ask a peer and return its answer."""

    async def ask(
        self,
        address: str,
        message: Any,
        reply_kind: type[ReplyT],
        *,
        timeout_seconds: float,
    ) -> ReplyT:
        """Return the peer's answer; raise PeerError if there is none."""
