"""Parse the responses that arrive on one connection."""

from collections import deque

import httptools
from attrs import define, field

from jasminewheel._internal.web.answer_limits import (
    BODY_PARTS,
    HEAD_BYTES,
    HEADER_FIELDS,
    RESPONSES,
)
from jasminewheel._internal.web.headers import Headers, field_value

_FIRST_FINAL_STATUS = 200
_BODILESS = frozenset((204, 304))


@define(eq=False)
class HttpResponse:
    """Represent one response as far as it was received."""

    status: int
    headers: Headers
    parts: deque[bytes] = field(factory=deque)
    complete: bool = False
    # Bytes of the body received so far, without framing, and their pieces.
    body_bytes: int = 0
    part_count: int = 0

    def declared_bytes(self) -> int:
        """Return the value of Content-Length, or 0 if there is none."""
        length = field_value(self.headers, b'content-length') or b'0'
        return int(length) if length.isdigit() else 0

    def ends_with_connection(self) -> bool:
        """Return whether the body is delimited by the end of the connection."""
        if self.status in _BODILESS:
            return False
        framed = field_value(self.headers, b'content-length') is not None
        coding = field_value(self.headers, b'transfer-encoding')
        return not framed and coding is None


class _LimitError(Exception):
    """Stop the parser, which passes it on as an error of its own."""


@define(eq=False)
class ResponseParser:
    """Collect final responses in order; drop interim ones.

    Each response, header field and piece of a body costs time and memory,
    however small, so their numbers are limited as well as the bytes.
    """

    responses: deque[HttpResponse] = field(factory=deque)
    max_head_bytes: int = HEAD_BYTES
    # Bytes received since the end of the last head or complete response.
    head_bytes: int = 0
    in_head: bool = True
    # The limit that was exceeded; empty if none was.
    exceeded: str = ''
    # Responses begun since the last request was sent.
    response_count: int = 0
    field_count: int = 0
    # Responses, header fields and pieces of bodies so far.
    steps: int = 0
    broken: bool = False
    ended: bool = False
    keep_alive: bool = True
    # Whether the first bytes of a response have arrived, but not all of it.
    in_response: bool = False
    parser: httptools.HttpResponseParser = field(init=False)
    headers: Headers = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start before the first response."""
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, received: bytes) -> None:
        """Parse received bytes; no bytes mean the end of the connection."""
        if not received:
            self._end()
            return
        if self.in_head:
            self.head_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken = True
        if self.in_head and self.head_bytes > self.max_head_bytes:
            self.exceeded = 'bytes of a head'
            self.broken = True

    def begin_exchange(self) -> None:
        """Count the responses from here, as a request was sent."""
        self.response_count = 0

    def check_count(self, count: int, limit: int, counted: str) -> None:
        """Stop parsing if a count exceeds its limit."""
        self.steps += 1
        if count > limit:
            self.exceeded = counted
            raise _LimitError

    def on_message_begin(self) -> None:
        """Start a response."""
        self.headers = []
        self.in_response = True
        self.field_count = 0
        self.response_count += 1
        self.check_count(self.response_count, RESPONSES, 'responses')

    def on_header(self, name: bytes, found: bytes) -> None:
        """Add a header field; trailer fields are ignored."""
        self.field_count += 1
        self.check_count(self.field_count, HEADER_FIELDS, 'header fields')
        if self.in_head:
            self.headers.append((name, found))

    def on_headers_complete(self) -> None:
        """Add a response, unless it is an interim one."""
        self.in_head = False
        self.head_bytes = 0
        status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()
        if status >= _FIRST_FINAL_STATUS:
            self.responses.append(HttpResponse(status, self.headers))

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        response = self.responses[-1]
        response.parts.append(part)
        response.body_bytes += len(part)
        response.part_count += 1
        self.check_count(response.part_count, BODY_PARTS, 'parts of a body')

    def on_message_complete(self) -> None:
        """Mark a response as complete."""
        self.in_head = True
        self.in_response = False
        if self.parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self.responses[-1].complete = True

    def _end(self) -> None:
        last = self.responses[-1] if self.responses else None
        if last and not last.complete and last.ends_with_connection():
            last.complete = not self.broken
        self.keep_alive = False
        self.ended = True
        self.broken = self.broken or not last or not last.complete
