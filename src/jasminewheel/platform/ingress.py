"""Decode requests of the platform's clients, and encode errors for them."""

import logging
import math
from collections.abc import Iterator
from typing import Protocol

import trio
from attrs import define

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.call import Call, TurnRequest
from jasminewheel._internal.gateway.gateway import Gateway, RoutedCall
from jasminewheel._internal.gateway.held_prompts import PromptPart
from jasminewheel._internal.web.answer_writer import (
    AnswerWriter,
    retry_after,
)
from jasminewheel._internal.web.headers import (
    Headers,
    end_to_end,
    field_text,
    field_values,
)
from jasminewheel._internal.web.request_parser import HttpRequest
from jasminewheel.errors import (
    CallError,
    MalformedRequestError,
    UnavailableError,
)

MS_PER_SECOND = 1000
# Of a number in a header field; a client may send any.
MAX_DIGITS = 15
# For a client that sends no Deadline-Ms.
DEFAULT_DEADLINE_SECONDS = 30.0
# Other entries can serve the retry at once.
STOPPING_RETRY_SECONDS = 0.05
# Set by the system alone: removed from what a client sends. The names with kv
# are headers of calls to runners, unlike the kv- paths of the platform's store.
_RESERVED_HEADERS = (
    b'deadline-ms',
    b'target-instance',
    b'request-priority',
    b'expect-version',
    b'hold',
    b'pin-ms',
    b'kv-backup',
    b'kv-from',
    b'kv-fetch',
)
# A client's key, and the organisation that the system names to runners.
_KEY = b'credential'
_ORGANISATION_HEADERS = (_KEY, b'tenant')
_CALL_ID = b'request-id'
_LOGGER = logging.getLogger(__name__)


class NewsAge(Protocol):
    """Tell how old the news of the store may be."""

    def log_fields(self, now: float) -> dict[str, object]:
        """Return the fields for the log line of a decision."""


@define(eq=False)
class Ingress:
    """Pass HTTP requests to the gateway; refuse them once closed."""

    gateway: Gateway
    # Tells how old the configuration may be.
    news: NewsAge
    # No request is accepted that may last longer.
    ends_at: float = math.inf
    closed: bool = False

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer one request.

        An answer that fails after its start is left incomplete, which ends
        its connection.
        """
        try:
            admitted = self.admit(request)
        except CallError as error:
            self.log_rejected(request, error)
            await send_error(request, answer, error)
            return
        try:
            await self.gateway.serve(admitted, answer)
        except CallError as error:
            if not answer.started:
                await send_error(request, answer, error)

    def admit(self, request: HttpRequest) -> RoutedCall:
        """Return the call with its route; raise CallError if refused."""
        if self.closed:
            raise stopping_error()
        needs_keys = bool(self.gateway.routes.current.organisations)
        reserved = _ORGANISATION_HEADERS if needs_keys else ()
        routed = self.gateway.route(decode_call(request, reserved))
        if routed.deadline_at > self.ends_at:
            raise stopping_error()
        return routed

    def log_rejected(self, request: HttpRequest, error: CallError) -> None:
        """Log a request that was refused before it was routed."""
        events.REFUSED_UNROUTED.log(
            _LOGGER,
            request=field_text(request.headers, _CALL_ID),
            host=field_text(request.headers, b'host'),
            path=request.target.decode('latin-1'),
            version=self.gateway.routes.current.version,
            code=error.code,
            problem=error.message,
            **self.news.log_fields(trio.current_time()),
        )


def stopping_error() -> UnavailableError:
    """Return the error of a request that another entry has to serve."""
    return UnavailableError(
        'this entry is shutting down',
        retry_after_seconds=STOPPING_RETRY_SECONDS,
    )


async def send_error(
    request: HttpRequest, answer: AnswerWriter, error: CallError
) -> None:
    """Send an error; its status says whether the call may have run."""
    headers: Headers = [
        (b'Content-Type', b'text/plain'),
        (b'Request-Id', field_text(request.headers, _CALL_ID).encode()),
        *retry_after(error),
    ]
    await answer.send_whole(error.status, headers, error.message.encode())


def decode_call(request: HttpRequest, reserved: tuple[bytes, ...] = ()) -> Call:
    """Return the call without header fields that are reserved.

    Raise MalformedRequestError without a Request-Id.
    """
    names = field_values(request.headers, _CALL_ID)
    if len(names) != 1 or not names[0].strip():
        raise MalformedRequestError('exactly one Request-Id header is required')
    host = field_text(request.headers, b'host').rpartition(':')
    waits = _number(request.headers, b'deadline-ms')
    seconds = (
        DEFAULT_DEADLINE_SECONDS if waits is None else waits / MS_PER_SECOND
    )
    return Call(
        call_id=names[0].strip().decode('latin-1'),
        host=(host[0] or host[2]).lower(),
        path=request.target.partition(b'?')[0].decode('latin-1'),
        method=request.method,
        target=request.target,
        headers=end_to_end(request.headers, (*_RESERVED_HEADERS, *reserved)),
        body=request.body,
        arrived_at=request.arrived_at,
        deadline_at=request.arrived_at + seconds,
        turn=_turn(request.headers),
        key=field_text(request.headers, _KEY),
    )


def _turn(headers: Headers) -> TurnRequest:
    # In a request, Token-Usage is the client's estimate: tokens of the prompt
    # and the most that the answer may take.
    usage = field_text(headers, b'token-usage').split(',')
    numbers = [_whole_number(part.strip()) for part in usage]
    counts = [one for one in numbers if one is not None]
    return TurnRequest(
        previous_id=field_text(headers, b'previous-turn'),
        program_id=field_text(headers, b'program-id'),
        budget_tokens=_number(headers, b'token-budget'),
        prompt_tokens=counts[0] if counts else 0,
        max_output_tokens=counts[1] if len(counts) > 1 else 0,
        prompt_parts=tuple(_prompt_parts(headers)),
        program_seconds_left=_program_seconds_left(headers),
    )


def _program_seconds_left(headers: Headers) -> float | None:
    text = field_text(headers, b'program-deadline-ms')
    left_ms = _whole_number(text.removeprefix('-'))
    if left_ms is None:
        return None
    seconds = left_ms / MS_PER_SECOND
    return -seconds if text.startswith('-') else seconds


def _prompt_parts(headers: Headers) -> Iterator[PromptPart]:
    """Yield the parts that Prompt-Prefix names; stop at one that is odd."""
    for text in field_text(headers, b'prompt-prefix').split(','):
        part_id, _, count = text.strip().partition(':')
        tokens = _whole_number(count)
        if tokens is None:
            return
        yield PromptPart(part_id, tokens)


def _number(headers: Headers, name: bytes) -> int | None:
    text = field_text(headers, name)
    if not text:
        return None
    found = _whole_number(text)
    if found is None:
        raise MalformedRequestError(f'{name.decode()} is not a number')
    return found


def _whole_number(text: str) -> int | None:
    """Return the number that ASCII digits stand for, unless it is huge."""
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
