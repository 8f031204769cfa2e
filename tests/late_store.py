"""Call the stand-in of the platform's store without a network.

The calls are translated as for the platform's store, so that a test on a
virtual clock can lose their answers and execute them late.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
from attrs import define, field

from jasminewheel._internal.web.client import OutgoingRequest
from jasminewheel.errors import StoreUnavailableError
from jasminewheel.platform.store_client import PlatformStore
from jasminewheel.platform.store_replies import StoreReply
from tests.late_calls import LateCalls
from tests.platform_store import PlatformStoreStandIn

ANSWER_SECONDS = 0.004


@define(eq=False)
class LateStore(PlatformStore):
    """Call a stand-in in the same process."""

    address: str = ''
    stand_in: PlatformStoreStandIn = field(factory=PlatformStoreStandIn)
    # Whether calls get no answer and are not executed.
    silent: bool = False

    async def exchange(
        self, request: OutgoingRequest, timeout_seconds: float
    ) -> StoreReply:
        """Return the reply to a request; raise if none comes in time."""
        with trio.move_on_after(timeout_seconds):
            await trio.sleep(ANSWER_SECONDS)
            if self.silent:
                await trio.sleep_forever()
            status, fields = await self.stand_in.reply(
                request.target.decode(), request.body
            )
            return StoreReply(status, fields or {})
        raise StoreUnavailableError('no answer', no_response=True)


@asynccontextmanager
async def late_store(
    seconds: Callable[[str, dict], float | None] | None = None,
) -> AsyncIterator[LateStore]:
    """Provide a store whose late calls end with the context."""
    async with trio.open_nursery() as nursery:
        store = LateStore()
        if seconds:
            store.stand_in.late_calls = LateCalls(seconds, nursery)
        yield store
        nursery.cancel_scope.cancel()
