"""Imitate the platform's runners, with faults that tests choose."""

import trio
from attrs import define, field

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import field_text
from jasminewheel._internal.web.request_parser import HttpRequest

SIGNATURE = b'3e1b.07'


@define(eq=False)
class RunnerStandIn:
    """Answer and record calls; faults apply to the next calls in order.

    Faults: 'refuse' (not run), 'drop' (run, no answer), 'cut' (run, answer
    cut short), 'foreign' (another call's answer comes first), 'fail' (500),
    'hang' (run, never answers).
    """

    runner_id: str
    faults: list[str] = field(factory=list)
    # Calls that ran.
    ran: list[HttpRequest] = field(factory=list)
    events: int = 3
    slow_seconds: float = 0
    abandoned: int = 0

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer one call."""
        fault = self.faults.pop(0) if self.faults else ''
        wanted = field_text(request.headers, b'target-instance')
        if wanted != self.runner_id:
            await answer.send_whole(421, [], b'')
            return
        if fault == 'refuse':
            await answer.send_whole(503, [(b'Not-Executed', b'1')], b'')
            return
        self.ran.append(request)
        await self.run(request, answer, fault)

    async def run(
        self, request: HttpRequest, answer: AnswerWriter, fault: str
    ) -> None:
        """Run a call with the fault."""
        headers = self.headers(request)
        if fault == 'drop':
            return
        if fault == 'hang':
            await self.hang()
        if fault == 'fail':
            await answer.send_whole(500, headers, b'broken')
            return
        if fault == 'foreign':
            foreign = [(b'Request-Id', b'other'), *headers[1:]]
            await answer.send_whole(200, foreign, b'not yours')
        if request.target.startswith(b'/turns/'):
            await self.stream(request, answer, fault)
            return
        await self.answer_plain(request, answer, fault)

    async def hang(self) -> None:
        """Run until the caller disconnects."""
        try:
            await trio.sleep_forever()
        except trio.Cancelled:
            self.abandoned += 1
            raise

    def headers(self, request: HttpRequest) -> list[tuple[bytes, bytes]]:
        """Return the header fields of an answer."""
        call_id = field_text(request.headers, b'request-id').encode()
        return [
            (b'Request-Id', call_id),
            (b'Response-Signature', SIGNATURE),
            (b'Server-Load', b'1,0,6'),
        ]

    async def answer_plain(
        self, request: HttpRequest, answer: AnswerWriter, fault: str
    ) -> None:
        """Send a whole answer, or only its start."""
        headers = self.headers(request)
        body = b'did %b' % request.target
        if fault == 'cut':
            await answer.start(200, headers)
            await answer.send(body[:3])
            return
        await answer.send_whole(200, headers, body)

    async def stream(
        self, request: HttpRequest, answer: AnswerWriter, fault: str
    ) -> None:
        """Answer with a stream of events, or only with its first."""
        await answer.start(200, self.headers(request))
        number = 0
        while number < self.events:
            await trio.sleep(self.slow_seconds)
            await answer.send(b'id: %d\ndata: w%d\n\n' % (number, number))
            number += 1
            if fault == 'cut':
                return
        await answer.finish()
