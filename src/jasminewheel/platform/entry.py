"""Run the entry, which passes clients' calls to runners."""

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
from jasminewheel.platform.entry_gateway import build_gateway
from jasminewheel.platform.entry_parts import EntryParts
from jasminewheel.platform.ingress import Ingress
from jasminewheel.platform.metrics import log_request_fault, start_metrics
from jasminewheel.platform.readiness import Readiness
from jasminewheel.platform.roles import periodic_task
from jasminewheel.platform.settings import NodeSettings

# Shares of the grace period in which new requests are still accepted: any
# request, and one whose time is up before the calls have to end. The balancer
# stops sending clients after two failed readiness checks, 1 s apart.
LONG_ADMISSION_GRACE_SHARE = 0.3
ADMISSION_GRACE_SHARE = 0.45
# Calls that still run this long before the end of the grace period are ended.
CALL_END_MARGIN_SECONDS = 0.7
# How long the last answers may take to be sent.
LAST_ANSWERS_SECONDS = 0.4
IDLE_CHECK_INTERVAL_SECONDS = 0.1
# Callers are accepted after this time even if routes or replicas are not known
# yet: they give up a connection that is not read for 1 s.
STARTUP_WAIT_SECONDS = 0.4
STALE_CHECK_INTERVAL_SECONDS = 1.0
UNLISTED_CHECK_INTERVAL_SECONDS = 0.5
_LOGGER = logging.getLogger(__name__)


async def serve_entry(
    settings: NodeSettings,
    pool: PeerPool,
    stop: trio.Event,
    early: EarlySockets,
) -> None:
    """Serve clients until stop is set, then drain the open calls."""
    parts = EntryParts(settings, pool)
    async with trio.open_nursery() as nursery:
        ingress = Ingress(build_gateway(parts, nursery), parts.followed)
        web = WebServer(
            ingress.handle, log_request_fault, memory=parts.client_memory
        )
        starter = ListenerStarter(settings, nursery, early)
        replicas = await parts.peers.start(nursery)
        start_store_tasks(nursery, parts, web)
        readiness = Readiness(parts.routes, replicas)
        await open_listeners(starter, web, readiness)
        await start_metrics(nursery, settings, parts.gauges)
        frame.STARTED.log(_LOGGER, vm=settings.vm, zone=settings.zone)
        await stop.wait()
        readiness.stopping = True
        await drain(web, ingress, settings.grace_seconds)
        nursery.cancel_scope.cancel()


@frozen
class ListenerStarter:
    """Start servers, on sockets that were opened early where there are any."""

    settings: NodeSettings
    nursery: trio.Nursery
    early: EarlySockets

    async def start(self, address: str, web: WebServer) -> None:
        """Start to serve connections to an address."""
        listening_sockets = self.early.take(address)
        if listening_sockets:
            await self.nursery.start(web.serve_early, listening_sockets)
        else:
            await self.nursery.start(web.serve, *split_address(address))


async def open_listeners(
    starter: ListenerStarter, web: WebServer, readiness: Readiness
) -> None:
    """Accept callers once routes and a majority of replicas are known.

    After STARTUP_WAIT_SECONDS callers are accepted in any case.
    """
    with trio.move_on_after(STARTUP_WAIT_SECONDS):
        await readiness.routes.loaded.wait()
        await readiness.replicas.wait_for_majority()
    await starter.start(starter.settings.callers_address, web)
    # Readiness is served last, so that callers can connect once it is reported.
    readiness_server = WebServer(readiness.answer, log_request_fault)
    await starter.start(starter.settings.readiness_address, readiness_server)


def start_store_tasks(
    nursery: trio.Nursery, parts: EntryParts, web: WebServer
) -> None:
    """Start the store mirror, its fallback to peers, and periodic clean-ups."""
    mirror = parts.mirror(web)
    known_items_fetcher = KnownItemsFetcher(
        mirror, parts.pool, parts.settings.seeds, parts.values
    )
    nursery.start_soon(mirror.run)
    nursery.start_soon(known_items_fetcher.run)
    remove_unlisted = parts.directory.remove_unlisted
    nursery.start_soon(
        periodic_task(remove_unlisted, UNLISTED_CHECK_INTERVAL_SECONDS)
    )
    close_stale = parts.connections.close_stale
    nursery.start_soon(periodic_task(close_stale, STALE_CHECK_INTERVAL_SECONDS))


async def drain(web: WebServer, ingress: Ingress, grace_seconds: float) -> None:
    """Finish the open calls; accept new ones until the balancer reacts.

    Calls that are still open near the end of the grace period are answered
    with an error, as the process is killed soon after.
    """
    started_at = trio.current_time()
    calls_end_at = started_at + grace_seconds - CALL_END_MARGIN_SECONDS
    web.draining = True
    events.DRAINING.log(_LOGGER, busy=web.busy_connections())
    with trio.move_on_at(calls_end_at):
        await trio.sleep(grace_seconds * LONG_ADMISSION_GRACE_SHARE)
        # Another entry can serve a call that might be ended here.
        ingress.ends_at = calls_end_at
        await trio.sleep_until(
            started_at + grace_seconds * ADMISSION_GRACE_SHARE
        )
        ingress.closed = True
        await close_connections(web)
    busy = web.busy_connections()
    if busy:
        events.CALLS_ENDED.log(_LOGGER, busy=busy)
        ingress.gateway.end_calls()
    with trio.move_on_after(LAST_ANSWERS_SECONDS):
        await close_connections(web)


async def close_connections(web: WebServer) -> None:
    """Close each client connection as soon as it is idle."""
    while web.connections:
        web.close_idle()
        await trio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
