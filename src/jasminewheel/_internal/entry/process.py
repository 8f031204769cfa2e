"""Run an entry process from its start to its graceful shutdown."""

import logging
import time
from functools import partial
from pathlib import Path

import trio
from attrs import define
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from jasminewheel._internal.entry.context import (
    EntryContext,
    open_context,
)
from jasminewheel._internal.entry.parts import EntryParts, open_parts
from jasminewheel._internal.entry.programs import Programs
from jasminewheel._internal.entry.settings import EntrySettings
from jasminewheel._internal.events import frame
from jasminewheel._internal.http.callers import CallersApi, on_http_exception
from jasminewheel._internal.http.dispatch import OperationDispatch
from jasminewheel._internal.http.health import health_blueprint
from jasminewheel._internal.http.serving import serve_app, write_port
from jasminewheel._internal.peer.server import PeerServer

_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class EntryProcess:
    """Serve peers and callers, and shut down gracefully."""

    settings: EntrySettings
    parts: EntryParts
    is_ready: bool = False

    @property
    def context(self) -> EntryContext:
        """Return the dependencies shared by the components."""
        return self.parts.context

    @property
    def programs(self) -> Programs:
        """Return the components that host programs."""
        return self.parts.programs

    def app(self) -> QuartTrio:
        """Return the HTTP application for callers and operators."""
        app = QuartTrio('jasminewheel')
        dispatch = OperationDispatch(
            lambda: self.context.fleet.view.current,
            self.programs.router,
            self.context.nursery,
            time.time,
        )
        app.register_blueprint(CallersApi(dispatch).blueprint())
        app.register_blueprint(self.parts.operators.blueprint())
        app.register_blueprint(health_blueprint(self.can_serve))
        app.register_error_handler(HTTPException, on_http_exception)
        return app

    def can_serve(self) -> bool:
        """Return whether the load balancer may send requests to this entry."""
        fleet = self.context.fleet
        has_state = fleet.view.current.version and fleet.placements.placement
        return self.is_ready and bool(has_state)

    async def start(self) -> None:
        """Serve peers, then join the fleet."""
        settings = self.settings
        fleet = self.context.fleet
        server = PeerServer(
            self.context.identity, self.context.key, self.parts.handlers()
        )
        port = await self.context.nursery.start(
            server.serve, settings.peer_host, settings.peer_port
        )
        fleet.set_peer_address(settings.peer_address(port))
        write_port_if_set(settings.peer_port_file, port)
        self.programs.start(self.context.nursery)
        await self.context.nursery.start(fleet.run)

    async def serve(self, stop: trio.Event) -> None:
        """Serve callers until stop is set and requests in progress ended."""
        shutdown_requested = trio.Event()
        async with trio.open_nursery() as serving:
            port = await serving.start(
                partial(
                    serve_app,
                    self.app(),
                    self.settings.http_host,
                    self.settings.http_port,
                    shutdown=shutdown_requested,
                    grace_seconds=self.settings.grace_seconds,
                ),
            )
            self.is_ready = True
            write_port_if_set(self.settings.http_port_file, port)
            frame.STARTED.log(_LOGGER, host=self.settings.http_host, port=port)
            await stop.wait()
            await self.drain()
            shutdown_requested.set()

    async def drain(self) -> None:
        """Stop acquiring slots, then release owned ones as calls finish."""
        self.is_ready = False
        # Must precede the release of slots: until then this entry still owns
        # the accounts of other callers.
        await self.parts.budgets.budget_client.return_all_grants()
        self.programs.slots.acquirer.is_draining = True
        await self.context.fleet.announce_leaving()
        await trio.sleep(self.settings.unready_seconds)
        with trio.move_on_after(self.settings.grace_seconds):
            await self.programs.slot_controller.drain()
            await self.programs.router.wait_until_idle()


async def run_entry(settings: EntrySettings, stop: trio.Event) -> None:
    """Run an entry until stop is set."""
    async with open_context(settings) as context:
        parts = open_parts(settings, context, stop)
        entry = EntryProcess(settings, parts)
        await entry.start()
        async with parts.budgets.budget_client:
            await entry.serve(stop)
        await context.fleet.announce_left()


def write_port_if_set(path: str, port: int) -> None:
    """Write the port to the file; do nothing if the path is empty."""
    if path:
        write_port(Path(path), port)
