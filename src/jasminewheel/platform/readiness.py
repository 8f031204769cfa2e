"""Answer the balancer, which asks once a second whether to send clients."""

from attrs import define

from jasminewheel._internal.gateway.gateway import RoutesHolder
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import HttpRequest

_READY = 200
_NOT_READY = 503


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
