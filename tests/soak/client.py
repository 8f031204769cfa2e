"""A client that keeps connections, gives up at random and retries rightly."""

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
    Ledger,
    Sent,
)

CONNECT_SECONDS = 1.0
DEADLINE_SECONDS = 3.0
MOST_RETRY_SECONDS = 1.0
FINAL_STATUSES = frozenset((400, 401, 402, 403, 404, 413, 431))
TRIES = 4
EVENT_END = b'\n\n'
# Share of attempts that a client gives up, within this time.
GIVE_UP_SHARE = 0.08
GIVE_UP_SECONDS = 0.3
KEEP_SHARE = 0.8
NOTHING = ReceivedAnswer(0, {}, b'', whole=False)


@define(eq=False)
class Client:
    """Send requests, one at a time, over one connection that it keeps."""

    name: str
    balancer: Balancer
    ledger: Ledger
    random: Random
    gives_up: bool = True
    connection: HttpConnection | None = None
    entry: str = ''
    numbers: count = field(factory=count)

    async def call(
        self, path: str, sent: Sent, headers: dict
    ) -> ReceivedAnswer:
        """Send a request until it is answered or may not be repeated."""
        tries = 0
        got = NOTHING
        while tries < TRIES:
            tries += 1
            attempt = self.next_attempt(sent)
            got = await self.attempt(path, attempt, headers)
            if not self.may_repeat(sent, got):
                break
            await trio.sleep(self.pause(got))
        return got

    def next_attempt(self, sent: Sent) -> Sent:
        """Return the next attempt, with an identifier of its own."""
        call_id = f'{self.name}-{next(self.numbers)}'
        return Sent(
            call_id,
            sent.route,
            '',
            DEADLINE_SECONDS,
            sent.prompt,
            sent.program_id,
            sent.budget,
            sent.most_tokens,
            sent.previous_kept_at,
        )

    def may_repeat(self, sent: Sent, got: ReceivedAnswer) -> bool:
        """Tell whether the request may be sent again."""
        if got.whole and (got.status == OK or got.status in FINAL_STATUSES):
            return False
        if got.whole and got.status in NOT_RUN_STATUSES:
            return True
        return sent.route in SAFE_ROUTES

    def pause(self, got: ReceivedAnswer) -> float:
        """Return how long to wait before the next attempt."""
        told = float(got.headers.get('retry-after', 0))
        return min(told, MOST_RETRY_SECONDS) + self.random.random() / 10

    async def attempt(
        self, path: str, sent: Sent, headers: dict
    ) -> ReceivedAnswer:
        """Send one attempt; nothing comes back from a broken connection."""
        try:
            connection = await self.connect()
        except ConnectionLostError:
            return NOTHING
        sent.entry = self.entry
        self.ledger.open(sent, trio.current_time())
        got = await self.exchange(
            connection, sent, self.request(path, sent, headers)
        )
        now = trio.current_time()
        if got is not None:
            self.ledger.answered(sent, got, now)
        kept = self.random.random() < KEEP_SHARE
        if got is None or not got.whole or _closes(got) or not kept:
            self.close()
        return got or NOTHING

    def request(self, path: str, sent: Sent, headers: dict) -> OutgoingRequest:
        """Return the request as it is sent."""
        fields = {
            'Host': CALLS_HOST,
            'Request-Id': sent.call_id,
            'Deadline-Ms': f'{int(sent.seconds * 1000)}',
            **headers,
        }
        body = fields.pop('body', b'')
        pairs = [(key.encode(), fields[key].encode()) for key in fields]
        method = b'POST' if body else b'GET'
        return OutgoingRequest(method, path.encode(), pairs, body)

    async def connect(self) -> HttpConnection:
        """Return the kept connection, or one to a ready entry."""
        now = trio.current_time()
        if self.connection and not self.connection.is_usable(now):
            self.close()
        if self.connection is None:
            entry = self.balancer.pick(self.random)
            self.entry = entry.name
            self.connection = await open_connection(
                entry.place.front, CONNECT_SECONDS
            )
        return self.connection

    async def exchange(
        self, connection: HttpConnection, sent: Sent, request: OutgoingRequest
    ) -> ReceivedAnswer | None:
        """Return what was received; None if nothing ended in time."""
        leaves = self.gives_up and self.random.random() < GIVE_UP_SHARE
        patience = sent.seconds + END_SLACK_SECONDS
        if leaves:
            patience = self.random.random() * GIVE_UP_SECONDS
        with trio.move_on_after(patience):
            return await self.receive(connection, sent, request)
        now = trio.current_time()
        sent.cancelled_at = now
        self.close()
        if leaves:
            self.ledger.outcomes[(sent.route, 'left')] += 1
        else:
            self.ledger.unanswered(sent, now)
        return None

    async def receive(
        self, connection: HttpConnection, sent: Sent, request: OutgoingRequest
    ) -> ReceivedAnswer:
        """Send, and read the answer as it comes."""
        got = ReceivedAnswer(0, {}, b'', whole=False)
        with suppress(ConnectionLostError):
            await connection.send(request)
            await self.read_answer(connection, sent, got)
        return got

    async def read_answer(
        self, connection: HttpConnection, sent: Sent, got: ReceivedAnswer
    ) -> None:
        """Read an answer, and count the events that it hands out."""
        response = await connection.response(bool)
        got.status = response.status
        got.headers = {
            name.decode().lower(): text.decode()
            for name, text in response.headers
        }
        async for part in connection.parts(response):
            got.body += part
            self.ledger.received(sent, part.count(EVENT_END))
        connection.finish(response, trio.current_time())
        got.whole = True

    def close(self) -> None:
        """Close the connection."""
        if self.connection:
            self.connection.close()
            self.connection = None


def _closes(got: ReceivedAnswer) -> bool:
    return got.headers.get('connection', '').lower() == 'close'
