"""A client that reuses connections, cancels at random and retries safely."""

from contextlib import suppress
from itertools import count
from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.web.client import (
    HttpConnection,
    OutgoingRequest,
    open_connection,
)
from jasminewheel.errors import ConnectionLostError
from tests.platform_fleet import CALLS_HOST, ReceivedAnswer
from tests.soak.balancer import Balancer
from tests.soak.ledger import (
    END_SLACK_SECONDS,
    NOT_RUN_STATUSES,
    OK,
    SAFE_ROUTES,
    Attempt,
    Ledger,
)

CONNECT_SECONDS = 1.0
DEADLINE_SECONDS = 3.0
MAX_RETRY_SECONDS = 1.0
FINAL_STATUSES = frozenset((400, 401, 402, 403, 404, 413, 431))
MAX_ATTEMPTS = 4
EVENT_END = b'\n\n'
# Share of attempts that a client cancels, and the latest time to do so.
CANCEL_SHARE = 0.08
MAX_CANCEL_SECONDS = 0.3
KEEP_ALIVE_SHARE = 0.8
NO_ANSWER = ReceivedAnswer(0, {}, b'', whole=False)


@define(eq=False)
class Client:
    """Send requests one at a time over a keep-alive connection."""

    name: str
    balancer: Balancer
    ledger: Ledger
    random: Random
    cancels_at_random: bool = True
    connection: HttpConnection | None = None
    entry: str = ''
    numbers: count = field(factory=count)

    async def call(
        self, path: str, template: Attempt, headers: dict
    ) -> ReceivedAnswer:
        """Send a request, with retries while these are safe."""
        attempts = 0
        answer = NO_ANSWER
        while attempts < MAX_ATTEMPTS:
            attempts += 1
            attempt = self.next_attempt(template)
            answer = await self.send_attempt(path, attempt, headers)
            if not self.may_repeat(template, answer):
                break
            await trio.sleep(self.retry_delay_seconds(answer))
        return answer

    def next_attempt(self, template: Attempt) -> Attempt:
        """Return an attempt with a new request identifier."""
        call_id = f'{self.name}-{next(self.numbers)}'
        return Attempt(
            call_id,
            template.route,
            '',
            DEADLINE_SECONDS,
            template.prompt,
            template.program_id,
            template.budget,
            template.max_tokens,
            template.previous_stored_at,
        )

    def may_repeat(self, attempt: Attempt, answer: ReceivedAnswer) -> bool:
        """Return whether the request may be sent again."""
        if answer.whole and (
            answer.status == OK or answer.status in FINAL_STATUSES
        ):
            return False
        if answer.whole and answer.status in NOT_RUN_STATUSES:
            return True
        return attempt.route in SAFE_ROUTES

    def retry_delay_seconds(self, answer: ReceivedAnswer) -> float:
        """Return the delay before the next attempt, with jitter."""
        retry_after_seconds = float(answer.headers.get('retry-after', 0))
        return (
            min(retry_after_seconds, MAX_RETRY_SECONDS)
            + self.random.random() / 10
        )

    async def send_attempt(
        self, path: str, attempt: Attempt, headers: dict
    ) -> ReceivedAnswer:
        """Send one attempt; return NO_ANSWER if the connection fails."""
        try:
            connection = await self.connect()
        except ConnectionLostError:
            return NO_ANSWER
        attempt.entry = self.entry
        self.ledger.record_attempt(attempt, trio.current_time())
        answer = await self.exchange(
            connection, attempt, self.build_request(path, attempt, headers)
        )
        now = trio.current_time()
        if answer is not None:
            self.ledger.record_answer(attempt, answer, now)
        keeps_alive = self.random.random() < KEEP_ALIVE_SHARE
        if (
            answer is None
            or not answer.whole
            or _closes(answer)
            or not keeps_alive
        ):
            self.close()
        return answer or NO_ANSWER

    def build_request(
        self, path: str, attempt: Attempt, headers: dict
    ) -> OutgoingRequest:
        """Build the HTTP request of an attempt."""
        fields = {
            'Host': CALLS_HOST,
            'Request-Id': attempt.call_id,
            'Deadline-Ms': f'{int(attempt.deadline_seconds * 1000)}',
            **headers,
        }
        body = fields.pop('body', b'')
        pairs = [(key.encode(), fields[key].encode()) for key in fields]
        method = b'POST' if body else b'GET'
        return OutgoingRequest(method, path.encode(), pairs, body)

    async def connect(self) -> HttpConnection:
        """Return the open connection, or open one to a healthy entry."""
        now = trio.current_time()
        if self.connection and not self.connection.is_usable(now):
            self.close()
        if self.connection is None:
            entry = self.balancer.pick(self.random)
            self.entry = entry.name
            self.connection = await open_connection(
                entry.node.call_address, CONNECT_SECONDS
            )
        return self.connection

    async def exchange(
        self,
        connection: HttpConnection,
        attempt: Attempt,
        request: OutgoingRequest,
    ) -> ReceivedAnswer | None:
        """Return the answer; None after a timeout or a cancellation."""
        cancels = self.cancels_at_random and self.random.random() < CANCEL_SHARE
        timeout_seconds = attempt.deadline_seconds + END_SLACK_SECONDS
        if cancels:
            timeout_seconds = self.random.random() * MAX_CANCEL_SECONDS
        with trio.move_on_after(timeout_seconds):
            return await self.receive(connection, attempt, request)
        now = trio.current_time()
        attempt.cancelled_at = now
        self.close()
        if cancels:
            self.ledger.outcomes[(attempt.route, 'left')] += 1
        else:
            self.ledger.record_timeout(attempt, now)
        return None

    async def receive(
        self,
        connection: HttpConnection,
        attempt: Attempt,
        request: OutgoingRequest,
    ) -> ReceivedAnswer:
        """Send the request and read its answer, possibly in part."""
        answer = ReceivedAnswer(0, {}, b'', whole=False)
        with suppress(ConnectionLostError):
            await connection.send(request)
            await self.read_answer(connection, attempt, answer)
        return answer

    async def read_answer(
        self,
        connection: HttpConnection,
        attempt: Attempt,
        answer: ReceivedAnswer,
    ) -> None:
        """Read an answer, and record the events that it delivers."""
        response = await connection.response(bool)
        answer.status = response.status
        answer.headers = {
            name.decode().lower(): text.decode()
            for name, text in response.headers
        }
        async for part in connection.parts(response):
            answer.body += part
            self.ledger.record_events(attempt, part.count(EVENT_END))
        connection.finish(response, trio.current_time())
        answer.whole = True

    def close(self) -> None:
        """Close the connection."""
        if self.connection:
            self.connection.close()
            self.connection = None


def _closes(answer: ReceivedAnswer) -> bool:
    return answer.headers.get('connection', '').lower() == 'close'
