"""Parse the requests of one connection; reject ambiguous or large ones."""

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
# Memory of a header field and of a request beside their bytes.
FIELD_MEMORY_BYTES = 160
REQUEST_MEMORY_BYTES = 1024


@frozen
class RequestLimits:
    """Define how much a client may send, and its timeouts."""

    header_bytes: int = 16384
    # 4 MiB.
    body_bytes: int = 4194304
    header_seconds: float = 5
    idle_seconds: float = 15


@frozen
class HttpRequest:
    """Represent one complete request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    arrived_at: float

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the request takes."""
        fields = sum(
            len(name) + len(found) + FIELD_MEMORY_BYTES
            for name, found in self.headers
        )
        sizes = fields + len(self.target) + len(self.body)
        return REQUEST_MEMORY_BYTES + sizes


class _LimitError(Exception):
    """Stop the parser, which passes it on as an error of its own."""


@define(eq=False)
class RequestParser:
    """Collect complete requests; the first fault ends the connection."""

    limits: RequestLimits
    complete: deque[HttpRequest] = field(factory=deque)
    fault: RequestError | None = None
    started_at: float | None = None
    in_head: bool = True
    wants_continue: bool = False
    parser: httptools.HttpRequestParser = field(init=False)
    target: bytes = b''
    headers: Headers = field(factory=list)
    # Bytes received since the last piece of a body: of a head, or of chunk
    # sizes and trailers.
    head_bytes: int = 0
    # Size of the target and header fields of a head, or of its trailers.
    field_bytes: int = 0
    # Memory of the header fields that are kept.
    field_memory_bytes: int = 0
    # Header fields and pieces of bodies so far.
    steps: int = 0
    body: bytearray = field(factory=bytearray)
    now: float = 0

    def __attrs_post_init__(self) -> None:
        """Start before the first request."""
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, received: bytes, now: float) -> None:
        """Parse received bytes; set `fault` if they are not acceptable."""
        self.now = now
        if self.started_at is None:
            self.started_at = now
        self.head_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.fail(MalformedRequestError('upgrades are not offered'))
        except httptools.HttpParserError as error:
            self.fail(MalformedRequestError(f'malformed request: {error}'))
        if self.head_bytes > self.limits.header_bytes:
            self.fail(_too_large())

    def fail(self, fault: RequestError) -> None:
        """Record the fault, unless there already is one; drop the request."""
        self.fault = self.fault or fault
        self.headers = []
        self.field_memory_bytes = 0
        self.body = bytearray()

    def unfinished_bytes(self) -> int:
        """Return the memory that the request being received takes."""
        return self.field_memory_bytes + self.head_bytes + len(self.body)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.started_at = self.now
        self.in_head = True
        self.target = b''
        self.headers = []
        self.field_bytes = 0
        self.field_memory_bytes = 0
        self.body = bytearray()

    def on_url(self, part: bytes) -> None:
        """Append a part of the target."""
        self.target += part
        self.count_field_bytes(len(part))

    def on_header(self, name: bytes, found: bytes) -> None:
        """Add a header field; trailer fields are only counted."""
        self.steps += 1
        size = len(name) + len(found)
        self.count_field_bytes(size + _FIELD_EXTRA_BYTES)
        if self.in_head and not self.fault:
            self.field_memory_bytes += size + FIELD_MEMORY_BYTES
            self.headers.append((name, found))

    def count_field_bytes(self, count: int) -> None:
        """Count bytes of a head or its trailers; stop if they are too many."""
        self.field_bytes += count
        if self.field_bytes > self.limits.header_bytes:
            self.fail(_too_large())
            raise _LimitError

    def on_headers_complete(self) -> None:
        """Check the head against the limits and the supported protocol."""
        self.in_head = False
        self.head_bytes = 0
        self.field_bytes = 0
        if self.parser.get_http_version() != _HTTP_VERSION:
            self.fail(MalformedRequestError('only HTTP/1.1 is supported'))
        if len(field_values(self.headers, b'host')) != 1:
            self.fail(MalformedRequestError('exactly one Host is required'))
        if self.parser.should_upgrade():
            self.fail(MalformedRequestError('upgrades are not offered'))
        if not self.target.startswith(b'/'):
            self.fail(MalformedRequestError('the target is not a path'))
        length = field_value(self.headers, b'content-length') or b'0'
        if int(length) > self.limits.body_bytes:
            self.fail(TooLargeError('the body is too large'))
        self.wants_continue = bool(field_value(self.headers, b'expect'))

    def on_body(self, part: bytes) -> None:
        """Append a part of the body, unless the request has a fault."""
        self.steps += 1
        self.head_bytes = 0
        if self.fault:
            return
        self.body += part
        if len(self.body) > self.limits.body_bytes:
            self.fail(TooLargeError('the body is too large'))

    def on_message_complete(self) -> None:
        """Add a complete request, unless it has a fault."""
        self.in_head = True
        self.head_bytes = 0
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
        self.field_memory_bytes = 0


def _too_large() -> HeadersTooLargeError:
    return HeadersTooLargeError('the header fields are too large')
