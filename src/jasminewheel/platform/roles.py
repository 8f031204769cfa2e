"""Put the parts of a role together and run it until it is stopped."""

import logging
import secrets
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from functools import partial

import trio
from attrs import frozen

from jasminewheel._internal.events import frame
from jasminewheel._internal.observability.json_lines import start_json_logging
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Handler, PeerServer
from jasminewheel._internal.web.early_sockets import EarlySockets
from jasminewheel.platform.settings import NodeSettings

# The platform hands out no secret; its network is what keeps strangers out.
PEER_KEY = b'jasminewheel'
_INCARNATION_BYTES = 4
_LOGGER = logging.getLogger(__name__)

Serve = Callable[
    [NodeSettings, PeerPool, trio.Event, EarlySockets], Awaitable[None]
]


@frozen
class RoleProcess:
    """Run one role with the settings of its VM."""

    settings: NodeSettings
    serve: Serve
    early: EarlySockets

    async def run(self) -> None:
        """Serve until SIGTERM."""
        stop = trio.Event()
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with trio.open_signal_receiver(*numbers) as received:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follow_signals, received, stop)
                async with peer_pool(self.settings) as pool:
                    await self.serve(self.settings, pool, stop, self.early)
                nursery.cancel_scope.cancel()
        frame.STOPPED.log(_LOGGER)


def run_role(serve: Serve, settings: NodeSettings, early: EarlySockets) -> None:
    """Run a role until it is stopped."""
    start_json_logging(settings.vm)
    process = RoleProcess(settings, serve, early)
    trio.run(process.run)


async def follow_signals(
    received: AsyncIterator[int], stop: trio.Event
) -> None:
    """Stop on SIGTERM; log a change of the settings on SIGHUP."""
    async for number in received:
        if number == signal.SIGHUP:
            frame.RELOADED.log(_LOGGER)
        else:
            frame.STOPPING.log(_LOGGER, signal=signal.Signals(number).name)
            stop.set()


@asynccontextmanager
async def peer_pool(settings: NodeSettings) -> AsyncIterator[PeerPool]:
    """Give connections to the other processes of the product."""
    async with PeerPool(peer_identity(settings), PEER_KEY) as pool:
        yield pool


def peer_server(
    settings: NodeSettings, handlers: Mapping[type, Handler]
) -> PeerServer:
    """Return the server for the other processes of the product."""
    return PeerServer(peer_identity(settings), PEER_KEY, handlers)


def peer_identity(settings: NodeSettings) -> PeerIdentity:
    """Return the name of this process for its peers."""
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    return PeerIdentity(settings.vm, incarnation, settings.zone)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def tick(seconds: float, step: Callable[[float], object]) -> None:
    """Call step with the present time at each interval."""
    while True:
        await trio.sleep(seconds)
        step(trio.current_time())


def background(step: Callable[[float], object], seconds: float) -> partial:
    """Return a task that calls step at each interval."""
    return partial(tick, seconds, step)
