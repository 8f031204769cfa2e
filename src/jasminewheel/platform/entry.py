"""Run the entry: clients in front, runners and histories behind."""

import logging

import trio
from attrs import define

from jasminewheel._internal.conversation.client import ConversationClient
from jasminewheel._internal.conversation.quorum import QuorumClient, SetHolder
from jasminewheel._internal.conversation.set_keeper import SetListener
from jasminewheel._internal.events import frame
from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.attempts import Attempts
from jasminewheel._internal.gateway.choice import RunnerChoice
from jasminewheel._internal.gateway.distance import ZoneDistance
from jasminewheel._internal.gateway.gateway import Gateway, RoutesHolder
from jasminewheel._internal.gateway.plain_flow import PlainFlow
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.gateway.turn_flow import TurnFlow
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.pool import ConnectionPool
from jasminewheel._internal.web.request_parser import HttpRequest
from jasminewheel._internal.web.server import WebServer
from jasminewheel.errors import RequestError
from jasminewheel.platform.ingress import Ingress
from jasminewheel.platform.listener import PlatformListener
from jasminewheel.platform.roles import background, split_address
from jasminewheel.platform.runner_protocol import PlatformRunners
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.platform.store_client import PlatformStore

# The balancer needs two missed questions, a second apart, to look elsewhere.
NOTICE_SECONDS = 3.2
# Left of the grace when streams that still run are cut.
LAST_SECONDS = 0.7
CHECK_SECONDS = 0.1
STALE_CHECK_SECONDS = 1.0
_READY = 200
_NOT_READY = 503
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class Readiness:
    """Say whether this entry wants new connections."""

    routes: RoutesHolder
    stopping: bool = False

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is in force and no stop is asked."""
        return bool(self.routes.current.version) and not self.stopping

    async def answer(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer the balancer's question."""
        status = _READY if self.ready else _NOT_READY
        await answer.send_whole(status, [], b'')


async def serve_entry(
    settings: NodeSettings, pool: PeerPool, stop: trio.Event
) -> None:
    """Serve clients until stop, then finish what is under way."""
    routes = RoutesHolder()
    directory = RunnerDirectory()
    sets = SetHolder()
    distance = ZoneDistance(settings.zone, settings.zone_regions)
    connections = ConnectionPool()
    async with trio.open_nursery() as nursery:
        conversations = ConversationClient(
            QuorumClient(pool, sets, distance), nursery
        )
        choice = RunnerChoice(directory, distance)
        attempts = Attempts(choice, PlatformRunners(connections))
        gateway = Gateway(
            routes, PlainFlow(attempts), TurnFlow(attempts, conversations)
        )
        web = WebServer(Ingress(gateway).handle, note_fault)
        mirror = StoreMirror(
            PlatformStore(settings.store_address),
            [SetListener(sets), PlatformListener(routes, directory, web)],
        )
        readiness = Readiness(routes)
        questions = WebServer(readiness.answer, note_fault)
        nursery.start_soon(mirror.run)
        nursery.start_soon(
            background(connections.close_stale, STALE_CHECK_SECONDS)
        )
        callers = split_address(settings.callers_address)
        await nursery.start(web.serve, *callers)
        balancer = split_address(settings.readiness_address)
        await nursery.start(questions.serve, *balancer)
        frame.STARTED.log(_LOGGER, vm=settings.vm, zone=settings.zone)
        await stop.wait()
        readiness.stopping = True
        await finish(web, settings.grace_seconds)
        nursery.cancel_scope.cancel()


async def finish(web: WebServer, grace_seconds: float) -> None:
    """Answer what is under way; take new requests until clients look away."""
    started_at = trio.current_time()
    web.draining = True
    events.DRAINING.log(_LOGGER, busy=web.busy_connections())
    await trio.sleep(NOTICE_SECONDS)
    with trio.move_on_at(started_at + grace_seconds - LAST_SECONDS):
        while web.connections:
            web.close_idle()
            await trio.sleep(CHECK_SECONDS)


def note_fault(fault: RequestError) -> None:
    """Log bytes that were refused."""
    events.FAULTY_REQUEST.log(_LOGGER, code=fault.code, problem=fault.message)
