"""Detect when replicas recover."""

import trio
from attrs import frozen

from jasminewheel._internal.conversation.quorum import (
    PROBE_REQUEST,
    QuorumClient,
)
from jasminewheel.errors import QuorumError

CHECK_INTERVAL_SECONDS = 0.2
# Shorter at startup, because callers are already waiting.
STARTUP_CHECK_INTERVAL_SECONDS = 0.05
# A shorter loss of the quorum does not make the entry unready, so the load
# balancer does not send clients elsewhere.
UNREADY_AFTER_SECONDS = 0.6


@frozen
class QuorumWatch:
    """Probe the replicas until a lost quorum is available again."""

    quorum: QuorumClient

    async def run(self) -> None:
        """Probe at intervals until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_majority)
            nursery.start_soon(self.watch_suspects)

    async def watch_majority(self) -> None:
        """Probe for a quorum while it is lost."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            if self.quorum.quorum_lost_since is not None:
                await self.probe()

    async def watch_suspects(self) -> None:
        """Probe suspected replicas on the direct path."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            await self.quorum.probe_suspects()

    async def wait_for_majority(self) -> None:
        """Wait until a quorum has replied once."""
        while not await self.probe():
            await trio.sleep(STARTUP_CHECK_INTERVAL_SECONDS)

    async def probe(self) -> bool:
        """Send a request without effects; return whether a quorum replied."""
        try:
            await self.quorum.ask_now(PROBE_REQUEST)
        except QuorumError:
            return False
        return True

    def is_quorum_available(self, now: float) -> bool:
        """Return whether turns can be served, ignoring short losses."""
        quorum_lost_since = self.quorum.quorum_lost_since
        return (
            quorum_lost_since is None
            or now - quorum_lost_since < UNREADY_AFTER_SECONDS
        )
