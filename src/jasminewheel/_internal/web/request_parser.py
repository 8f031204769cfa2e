"""Parse the requests of one connection, strictly."""

from collections import deque

import httptools
from attrs import define, field, frozen

from jasminewheel._internal.web.headers import (
    Headers,
    field_value,
    field_values,
)
from jasminewheel.errors import (
    HeadersTooLargeError,
    MalformedRequestError,
    RequestError,
    TooLargeError,
)

_HTTP_VERSION = '1.1'
_FIELD_EXTRA_BYTES = len(b': \r\n')


@frozen
class RequestLimits:
    """Bound what a client may send and how long it may take."""

    header_bytes: int = 16384
    # 4 MiB.
    body_bytes: int = 4194304
    header_seconds: float = 5
    idle_seconds: float = 15


@frozen
class HttpRequest:
    """Hold one whole request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    arrived_at: float


@define(eq=False)
class RequestParser:
    """Collect whole requests; the first fault ends the connection."""

    limits: RequestLimits
    complete: deque[HttpRequest] = field(factory=deque)
    fault: RequestError | None = None
    started_at: float | None = None
    in_head: bool = True
    wants_continue: bool = False
    parser: httptools.HttpRequestParser = field(init=False)
    target: bytes = b''
    headers: Headers = field(factory=list)
    head_bytes: int = 0
    body: bytearray = field(factory=bytearray)
    now: float = 0

    def __attrs_post_init__(self) -> None:
        """Start before the first request."""
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, received: bytes, now: float) -> None:
        """Take received bytes; what is wrong with them is kept as fault."""
        self.now = now
        if self.started_at is None:
            self.started_at = now
        if self.in_head:
            self.head_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.fail(MalformedRequestError('upgrades are not offered'))
        except httptools.HttpParserError as error:
            self.fail(MalformedRequestError(f'not a request: {error}'))
        if self.in_head and self.head_bytes > self.limits.header_bytes:
            self.fail(HeadersTooLargeError('the header fields are too large'))

    def fail(self, fault: RequestError) -> None:
        """Keep the first fault."""
        self.fault = self.fault or fault

    def on_message_begin(self) -> None:
        """Start a request."""
        self.started_at = self.now
        self.in_head = True
        self.target = b''
        self.headers = []
        self.body = bytearray()

    def on_url(self, part: bytes) -> None:
        """Take a part of the target."""
        self.target += part

    def on_header(self, name: bytes, found: bytes) -> None:
        """Take a header field."""
        self.headers.append((name, found))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.in_head = False
        self.head_bytes = 0
        if self._size() > self.limits.header_bytes:
            self.fail(HeadersTooLargeError('the header fields are too large'))
        if self.parser.get_http_version() != _HTTP_VERSION:
            self.fail(MalformedRequestError('only HTTP/1.1 is spoken'))
        if len(field_values(self.headers, b'host')) != 1:
            self.fail(MalformedRequestError('exactly one host is needed'))
        if self.parser.should_upgrade():
            self.fail(MalformedRequestError('upgrades are not offered'))
        if not self.target.startswith(b'/'):
            self.fail(MalformedRequestError('the target is not a path'))
        length = field_value(self.headers, b'content-length') or b'0'
        if int(length) > self.limits.body_bytes:
            self.fail(TooLargeError('the body is too large'))
        self.wants_continue = bool(field_value(self.headers, b'expect'))

    def on_body(self, part: bytes) -> None:
        """Take a part of the body, unless the request is refused."""
        if self.fault:
            return
        self.body += part
        if len(self.body) > self.limits.body_bytes:
            self.fail(TooLargeError('the body is too large'))

    def on_message_complete(self) -> None:
        """Keep a whole request."""
        self.in_head = True
        self.started_at = None
        self.wants_continue = False
        if self.fault:
            return
        self.complete.append(
            HttpRequest(
                self.parser.get_method(),
                self.target,
                self.headers,
                bytes(self.body),
                self.parser.should_keep_alive(),
                self.now,
            ),
        )
        self.body = bytearray()

    def _size(self) -> int:
        fields = sum(
            len(name) + len(found) + _FIELD_EXTRA_BYTES
            for name, found in self.headers
        )
        return fields + len(self.target)
