"""Run the entry: clients in front, runners and histories behind."""

import logging

import trio

from jasminewheel._internal.events import frame
from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.known_items import KnownItemsAsker
from jasminewheel._internal.web.server import WebServer
from jasminewheel.platform.entry_parts import EntryParts
from jasminewheel.platform.ingress import Ingress
from jasminewheel.platform.metrics import note_fault, start_metrics
from jasminewheel.platform.readiness import Readiness
from jasminewheel.platform.roles import background, split_address
from jasminewheel.platform.settings import NodeSettings

# Share of the grace in which new requests are taken. The balancer needs two
# missed questions, a second apart, to look elsewhere.
TAKING_SHARE = 0.45
# Left of the grace when streams that still run are cut.
LAST_SECONDS = 0.7
CHECK_SECONDS = 0.1
STALE_CHECK_SECONDS = 1.0
_LOGGER = logging.getLogger(__name__)


async def serve_entry(
    settings: NodeSettings, pool: PeerPool, stop: trio.Event
) -> None:
    """Serve clients until stop, then finish what is under way."""
    parts = EntryParts(settings, pool)
    async with trio.open_nursery() as nursery:
        ingress = Ingress(parts.gateway(nursery))
        web = WebServer(ingress.handle, note_fault)
        replicas = await parts.peers.start(nursery)
        readiness = Readiness(parts.routes, replicas)
        questions = WebServer(readiness.answer, note_fault)
        start_followers(nursery, parts, web)
        await listen(
            nursery,
            (settings.callers_address, web),
            (settings.readiness_address, questions),
        )
        await start_metrics(nursery, settings, parts.gauges)
        frame.STARTED.log(_LOGGER, vm=settings.vm, zone=settings.zone)
        await stop.wait()
        readiness.stopping = True
        await finish(web, ingress, settings.grace_seconds)
        nursery.cancel_scope.cancel()


async def listen(
    nursery: trio.Nursery,
    callers: tuple[str, WebServer],
    balancer: tuple[str, WebServer],
) -> None:
    """Serve callers, and the balancer's questions, at their addresses."""
    address, web = callers
    await nursery.start(web.serve, *split_address(address))
    address, questions = balancer
    await nursery.start(questions.serve, *split_address(address))


def start_followers(
    nursery: trio.Nursery, parts: EntryParts, web: WebServer
) -> None:
    """Follow the store, or ask other processes if it cannot be read."""
    mirror = parts.mirror(web)
    asker = KnownItemsAsker(mirror, parts.pool, parts.settings.seeds)
    nursery.start_soon(mirror.run)
    nursery.start_soon(asker.run)
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
