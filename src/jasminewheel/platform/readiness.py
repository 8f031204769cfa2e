"""Answer the readiness checks that the balancer sends once a second."""

import logging

import trio
from attrs import define

from jasminewheel._internal.conversation.quorum_watch import QuorumWatch
from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.gateway import RoutesHolder
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import HttpRequest

_READY = 200
_NOT_READY = 503
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class Readiness:
    """Report whether this entry accepts new clients."""

    routes: RoutesHolder
    replicas: QuorumWatch
    stopping: bool = False
    last_reported: bool = False

    @property
    def ready(self) -> bool:
        """Return whether turns can be served and no stop was requested."""
        if self.stopping or not self.routes.current.version:
            return False
        return self.replicas.is_quorum_available(trio.current_time())

    async def answer(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer a readiness check; log when the answer changes."""
        ready = self.ready
        if ready != self.last_reported:
            self.last_reported = ready
            events.READY.log(
                _LOGGER,
                ready=ready,
                version=self.routes.current.version,
                stopping=self.stopping,
            )
        status = _READY if ready else _NOT_READY
        await answer.send_whole(status, [], b'')
