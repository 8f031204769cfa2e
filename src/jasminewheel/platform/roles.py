"""Run a role until it is stopped."""

import secrets
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from functools import partial

import trio
from attrs import frozen

from jasminewheel._internal.observability.json_lines import start_json_logging
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Handler, PeerServer
from jasminewheel._internal.stop_signals import (
    STOP_SIGNALS,
    serve_until_stopped,
)
from jasminewheel._internal.web.early_sockets import EarlySockets
from jasminewheel.platform.settings import NodeSettings

# The platform distributes no secret; its network keeps other processes out.
PEER_KEY = b'jasminewheel'
# SIGHUP reports a changed settings file; without a handler it would end the
# process.
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
_INCARNATION_BYTES = 4

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
        """Serve until SIGTERM or SIGINT."""
        await serve_until_stopped(self.serve_peers, SIGNALS)

    async def serve_peers(self, stop: trio.Event) -> None:
        """Serve the role with a pool of connections to its peers."""
        async with peer_pool(self.settings) as pool:
            await self.serve(self.settings, pool, stop, self.early)


def run_role(serve: Serve, settings: NodeSettings, early: EarlySockets) -> None:
    """Run a role until it is stopped."""
    start_json_logging(settings.vm)
    process = RoleProcess(settings, serve, early)
    trio.run(process.run)


@asynccontextmanager
async def peer_pool(settings: NodeSettings) -> AsyncIterator[PeerPool]:
    """Open a pool of connections to the product's other processes."""
    async with PeerPool(peer_identity(settings), PEER_KEY) as pool:
        yield pool


def peer_server(
    settings: NodeSettings, handlers: Mapping[type, Handler]
) -> PeerServer:
    """Return the server for the product's other processes."""
    return PeerServer(peer_identity(settings), PEER_KEY, handlers)


def peer_identity(settings: NodeSettings) -> PeerIdentity:
    """Return the identity of this process, with a new incarnation."""
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    return PeerIdentity(settings.vm, incarnation, settings.zone)


async def call_periodically(
    seconds: float, step: Callable[[float], object]
) -> None:
    """Call step with the current time at each interval."""
    while True:
        await trio.sleep(seconds)
        step(trio.current_time())


def periodic_task(step: Callable[[float], object], seconds: float) -> partial:
    """Return a task that calls step at each interval."""
    return partial(call_periodically, seconds, step)
