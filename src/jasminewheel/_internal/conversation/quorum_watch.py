"""Notice when replicas answer again."""

import trio
from attrs import frozen

from jasminewheel._internal.conversation.quorum import (
    PROBE_REQUEST,
    QuorumClient,
)
from jasminewheel.errors import QuorumError

CHECK_INTERVAL_SECONDS = 0.2
# After a start, while callers wait.
STARTUP_CHECK_INTERVAL_SECONDS = 0.05
# A majority that is missed for less is no reason to send clients elsewhere.
UNREADY_AFTER_SECONDS = 0.6


@frozen
class QuorumWatch:
    """Ask the replicas while too few of them answer."""

    quorum: QuorumClient

    async def run(self) -> None:
        """Look at each interval until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_majority)
            nursery.start_soon(self.watch_suspects)

    async def watch_majority(self) -> None:
        """Ask all while too few answer."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            if self.quorum.quorum_lost_since is not None:
                await self.probe()

    async def watch_suspects(self) -> None:
        """Ask those that did not answer, on the direct path."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            await self.quorum.probe_suspects()

    async def wait_for_majority(self) -> None:
        """Wait until enough replicas answered once."""
        while not await self.probe():
            await trio.sleep(STARTUP_CHECK_INTERVAL_SECONDS)

    async def probe(self) -> bool:
        """Ask a question that changes nothing; tell whether that worked."""
        try:
            await self.quorum.ask_now(PROBE_REQUEST)
        except QuorumError:
            return False
        return True

    def is_quorum_available(self, now: float) -> bool:
        """Tell whether turns can be served, apart from short misses."""
        quorum_lost_since = self.quorum.quorum_lost_since
        return (
            quorum_lost_since is None
            or now - quorum_lost_since < UNREADY_AFTER_SECONDS
        )
