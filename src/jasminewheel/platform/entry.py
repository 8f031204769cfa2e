"""Run the entry: clients in front, runners and histories behind."""

import logging

import trio
from attrs import frozen

from jasminewheel._internal.address import split_address
from jasminewheel._internal.events import frame
from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.known_items import KnownItemsFetcher
from jasminewheel._internal.web.early_sockets import EarlySockets
from jasminewheel._internal.web.server import WebServer
from jasminewheel.platform.entry_parts import EntryParts
from jasminewheel.platform.ingress import Ingress
from jasminewheel.platform.metrics import note_fault, start_metrics
from jasminewheel.platform.readiness import Readiness
from jasminewheel.platform.roles import background
from jasminewheel.platform.settings import NodeSettings

# Share of the grace in which new requests are taken. The balancer needs two
# missed questions, a second apart, to look elsewhere.
TAKING_SHARE = 0.45
# Left of the grace when streams that still run are cut.
LAST_SECONDS = 0.7
CHECK_SECONDS = 0.1
# Callers give up a connection that is not read for a second.
UNPREPARED_SECONDS = 0.4
STALE_CHECK_SECONDS = 1.0
UNLISTED_CHECK_SECONDS = 0.5
_LOGGER = logging.getLogger(__name__)


async def serve_entry(
    settings: NodeSettings,
    pool: PeerPool,
    stop: trio.Event,
    early: EarlySockets,
) -> None:
    """Serve clients until stop, then finish what is under way."""
    parts = EntryParts(settings, pool)
    async with trio.open_nursery() as nursery:
        ingress = Ingress(parts.gateway(nursery))
        web = WebServer(ingress.handle, note_fault)
        listening = Listening(settings, nursery, early)
        replicas = await parts.peers.start(nursery)
        start_followers(nursery, parts, web)
        readiness = Readiness(parts.routes, replicas)
        await open_to_callers(listening, web, readiness)
        await start_metrics(nursery, settings, parts.gauges)
        frame.STARTED.log(_LOGGER, vm=settings.vm, zone=settings.zone)
        await stop.wait()
        readiness.stopping = True
        await finish(web, ingress, settings.grace_seconds)
        nursery.cancel_scope.cancel()


@frozen
class Listening:
    """Serve at addresses, on sockets that listen already if there are any."""

    settings: NodeSettings
    nursery: trio.Nursery
    early: EarlySockets

    async def start(self, address: str, web: WebServer) -> None:
        """Serve connections to an address."""
        waiting = self.early.take(address)
        if waiting:
            await self.nursery.start(web.serve_early, waiting)
        else:
            await self.nursery.start(web.serve, *split_address(address))


async def open_to_callers(
    listening: Listening, web: WebServer, readiness: Readiness
) -> None:
    """Take callers once it is known how to answer them, or soon after."""
    with trio.move_on_after(UNPREPARED_SECONDS):
        await readiness.routes.loaded.wait()
        await readiness.replicas.wait_for_majority()
    await listening.start(listening.settings.callers_address, web)
    # The balancer is told only when callers can connect.
    questions = WebServer(readiness.answer, note_fault)
    await listening.start(listening.settings.readiness_address, questions)


def start_followers(
    nursery: trio.Nursery, parts: EntryParts, web: WebServer
) -> None:
    """Follow the store, or ask other processes if it cannot be read."""
    mirror = parts.mirror(web)
    asker = KnownItemsFetcher(mirror, parts.pool, parts.settings.seeds)
    nursery.start_soon(mirror.run)
    nursery.start_soon(asker.run)
    remove_unlisted = parts.directory.remove_unlisted
    nursery.start_soon(background(remove_unlisted, UNLISTED_CHECK_SECONDS))
    close_stale = parts.connections.close_stale
    nursery.start_soon(background(close_stale, STALE_CHECK_SECONDS))


async def finish(
    web: WebServer, ingress: Ingress, grace_seconds: float
) -> None:
    """Answer what is under way; take new requests until clients look away."""
    started_at = trio.current_time()
    web.draining = True
    events.DRAINING.log(_LOGGER, busy=web.busy_connections())
    with trio.move_on_at(started_at + grace_seconds - LAST_SECONDS):
        await trio.sleep(grace_seconds * TAKING_SHARE)
        # What comes later might be cut; another entry can still run it.
        ingress.closed = True
        while web.connections:
            web.close_idle()
            await trio.sleep(CHECK_SECONDS)
