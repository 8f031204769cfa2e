"""Send calls to runners by the platform's protocol."""

import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from attrs import define, frozen

from jasminewheel._internal.gateway.ports import Attempt
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel._internal.web.answer_limits import AnswerMemory
from jasminewheel._internal.web.client import HttpConnection, OutgoingRequest
from jasminewheel._internal.web.headers import (
    Headers,
    field_text,
    field_value,
)
from jasminewheel._internal.web.pool import ConnectionPool
from jasminewheel._internal.web.response_parser import HttpResponse
from jasminewheel.errors import ConnectionLostError

CONNECT_TIMEOUT_SECONDS = 0.5
MS_PER_SECOND = 1000
WRONG_RUNNER_STATUS = 421
_MAX_PRIORITY = 9
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{0,12})?')


@define(eq=False)
class PlatformAnswer:
    """Represent a runner's answer while it is received."""

    connection: HttpConnection
    response: HttpResponse
    memory: AnswerMemory

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status

    @property
    def headers(self) -> Headers:
        """Return the header fields."""
        return self.response.headers

    @property
    def refused(self) -> bool:
        """Return whether the runner declares that it did not run the call."""
        return _is_refusal(self.response)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        return self.response.ends_with_connection()

    @property
    def load(self) -> LoadReport | None:
        """Return the runner's load if it reports it.

        Server-Load holds the running and the waiting calls, then further
        counts that are ignored.
        """
        counts = field_text(self.headers, b'server-load').split(',')
        if len(counts) < 2 or not all(
            part.strip().isdigit() for part in counts
        ):
            return None
        return LoadReport(int(counts[0]), int(counts[1]))

    @property
    def leaving(self) -> bool:
        """Return whether the runner says that it leaves.

        The answer of a runner that was not meant tells nothing of the other.
        """
        if self.status == WRONG_RUNNER_STATUS:
            return False
        return field_text(self.headers, b'server-leaving') == '1'

    @property
    def limit_rate(self) -> float | None:
        """Return the requests a second that the runner takes from all VMs."""
        if self.status == WRONG_RUNNER_STATUS:
            return None
        named = field_text(self.headers, b'server-limit')
        if not _DECIMAL.fullmatch(named):
            return None
        return float(named)

    def parts(self) -> AsyncIterator[bytes]:
        """Return the parts of the body as they arrive."""
        return self.connection.parts(self.response)

    async def whole_body(self) -> bytes:
        """Return the whole body."""
        return await self.connection.whole_body(self.response, self.memory)

    async def drop_rest(self) -> None:
        """Discard the rest of an answer that is not used."""
        await self.connection.drop_rest(self.response)

    def set_held_bytes(self, count: int) -> None:
        """Record how many bytes of the body are buffered."""
        self.memory.resize(count)


@frozen
class PlatformRunners:
    """Send calls to runners over pooled connections."""

    connections: ConnectionPool

    @asynccontextmanager
    async def attempt(self, attempt: Attempt) -> AsyncIterator[PlatformAnswer]:
        """Send a call; raise ConnectionLostError if no answer arrives."""
        connection = await self.connections.acquire(
            attempt.runner.address,
            trio.current_time(),
            CONNECT_TIMEOUT_SECONDS,
            fresh=not attempt.repeatable,
        )
        answer: PlatformAnswer | None = None
        memory = AnswerMemory(self.connections.memory_pool)
        try:
            response = await _send_call(connection, attempt)
            answer = PlatformAnswer(connection, response, memory)
            yield answer
        finally:
            memory.close()
            self.release(connection, answer)

    def release(
        self, connection: HttpConnection, answer: PlatformAnswer | None
    ) -> None:
        """Return the connection to the pool if its answer was read whole."""
        now = trio.current_time()
        complete = answer and answer.response.complete
        if complete and connection.finish(answer.response, now):
            self.connections.release(connection)
        else:
            connection.close()


async def _send_call(
    connection: HttpConnection, attempt: Attempt
) -> HttpResponse:
    attempt.observer.on_connected()
    await connection.send(_request(attempt))
    attempt.observer.on_sent()
    matcher = _CallMatcher(attempt.call.call_id, connection.reused)
    return await connection.response(matcher)


def _request(attempt: Attempt) -> OutgoingRequest:
    remaining_ms = max(1, int(attempt.seconds_left * MS_PER_SECOND))
    headers = [
        *attempt.call.headers,
        (b'Deadline-Ms', b'%d' % remaining_ms),
        (b'Target-Instance', attempt.runner.runner_id.encode()),
    ]
    if attempt.organisation:
        headers.append((b'Tenant', attempt.organisation.encode()))
    if attempt.priority is not None:
        priority = min(_MAX_PRIORITY, max(0, attempt.priority))
        headers.append((b'Request-Priority', b'%d' % priority))
    return OutgoingRequest(
        attempt.call.method, attempt.call.target, headers, attempt.body
    )


@frozen
class _CallMatcher:
    call_id: str
    # Whether an earlier call was answered on the connection.
    reused: bool

    def __call__(self, response: HttpResponse) -> bool:
        """Return whether a response answers the call.

        A response without a Request-Id is accepted only as a refusal: the
        runner refused before it read the call. On a reused connection it may
        repeat an earlier refusal, so the outcome of the call is unknown; then
        raise ConnectionLostError.
        """
        named = field_text(response.headers, b'request-id')
        if named:
            return named == self.call_id
        if not _is_refusal(response):
            return False
        if self.reused:
            raise ConnectionLostError(
                'refusal without an identifier on a reused connection'
            )
        return True


def _is_refusal(response: HttpResponse) -> bool:
    declared = field_value(response.headers, b'not-executed') is not None
    return declared or response.status == WRONG_RUNNER_STATUS
