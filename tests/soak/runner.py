"""A runner that may truncate, delay, duplicate or corrupt answers."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import Headers, field_text
from jasminewheel._internal.web.request_parser import HttpRequest
from tests.platform_runner import RunnerStandIn
from tests.soak.ledger import Ledger, Run

BASE_FAULTS = ('refuse', 'drop', 'cut', 'foreign', 'fail')
SOAK_FAULTS = ('hang', 'late', 'twice', 'garbage', 'endless')
# Faults without a complete answer.
INCOMPLETE_FAULTS = frozenset(('drop', 'cut', 'hang', 'garbage', 'endless'))
MAX_EVENTS = 4
LATE_SECONDS = 2.5
# Share of requests that are slow also without faults.
LATE_SHARE = 0.03
PAUSE_SECONDS = 0.08
ENDLESS_BYTES = 16384
ENDLESS_PAUSE_SECONDS = 0.05
FOREIGN_BODY = b'not yours'


@define(eq=False)
class SoakRunner(RunnerStandIn):
    """Record each run in the ledger, and inject faults at random."""

    ledger: Ledger = field(kw_only=True)
    random: Random = field(kw_only=True)
    address: str = ''
    # Share of requests with an injected fault.
    fault_share: float = 0

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer one call, with a fault drawn at random."""
        if self.random.random() < self.fault_share:
            kinds = (*BASE_FAULTS, *SOAK_FAULTS)
            self.faults.append(self.random.choice(kinds))
        elif self.random.random() < LATE_SHARE:
            self.faults.append('late')
        await super().handle(request, answer)

    async def run(
        self, request: HttpRequest, answer: AnswerWriter, fault: str
    ) -> None:
        """Run a call; record its start and its end."""
        self.ran.clear()
        call_id = field_text(request.headers, b'request-id')
        now = trio.current_time()
        run = self.ledger.record_start(
            call_id, self.runner_id, request.body, now
        )
        if fault not in INCOMPLETE_FAULTS:
            run.answer = self.whole_answer(request, fault)
        with self.recorded_run(call_id, run):
            await self.answer_with_fault(request, answer, fault)

    @contextmanager
    def recorded_run(self, call_id: str, run: Run) -> Iterator[None]:
        """Record the end of a run when the block ends."""
        try:
            yield
        finally:
            self.ledger.record_end(call_id, run, trio.current_time())

    async def answer_with_fault(
        self, request: HttpRequest, answer: AnswerWriter, fault: str
    ) -> None:
        """Answer, with the faults that only this stand-in has."""
        await trio.sleep(self.random.random() * PAUSE_SECONDS)
        if fault == 'late':
            await trio.sleep(LATE_SECONDS)
        if fault == 'garbage':
            await answer.stream.send_all(self.random.randbytes(ENDLESS_BYTES))
        elif fault == 'endless':
            await self.send_endless(request, answer)
        else:
            await RunnerStandIn.run(self, request, answer, fault)
        if fault == 'twice':
            await answer.send_whole(200, self.headers(request), FOREIGN_BODY)

    async def send_endless(
        self, request: HttpRequest, answer: AnswerWriter
    ) -> None:
        """Send a head or body without end until the caller disconnects."""
        if self.random.random() < 1 / 2:
            await answer.stream.send_all(b'HTTP/1.1 200 OK\r\nX-Long: ')
        else:
            await answer.start(200, self.headers(request))
            await answer.stream.send_all(b'ffffffff\r\n')
        while True:
            await answer.stream.send_all(b'x' * ENDLESS_BYTES)
            await trio.sleep(ENDLESS_PAUSE_SECONDS)

    def headers(self, request: HttpRequest) -> Headers:
        """Return the header fields of an answer, signed for this call."""
        call_id = field_text(request.headers, b'request-id')
        signature = f'{self.runner_id}.{call_id}'.encode()
        return [
            (b'Request-Id', call_id.encode()),
            (b'Response-Signature', signature),
            (b'Server-Load', b'1,0,6'),
        ]

    def whole_answer(self, request: HttpRequest, fault: str) -> bytes:
        """Return the complete body of the answer."""
        if fault == 'fail':
            return b'broken'
        if request.target.startswith(b'/turns/'):
            return b''.join(self.stream_events(request))
        return b'did %b' % request.target

    def stream_events(self, request: HttpRequest) -> list[bytes]:
        """Return the events of a turn, which are unique to the call."""
        call_id = field_text(request.headers, b'request-id')
        count = 1 + sum(call_id.encode()) % MAX_EVENTS
        return [
            f'id: {number}\ndata: {call_id}-{number}\n\n'.encode()
            for number in range(count)
        ]

    async def stream(
        self, request: HttpRequest, answer: AnswerWriter, fault: str
    ) -> None:
        """Answer with a stream of events."""
        await answer.start(200, self.headers(request))
        events = deque(self.stream_events(request))
        while events:
            await trio.sleep(self.random.random() * PAUSE_SECONDS)
            await answer.send(events.popleft())
            if fault == 'cut':
                return
        await answer.finish()
