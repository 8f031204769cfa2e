"""Write one answer to a client."""

from http import HTTPStatus
from types import MappingProxyType

import trio
from attrs import define

from jasminewheel._internal.web.headers import Headers, header_block
from jasminewheel._internal.web.message import send_message
from jasminewheel.errors import CallError

_REASONS = MappingProxyType(
    {status.value: status.phrase.encode() for status in HTTPStatus}
)
_LAST_CHUNK = b'0\r\n\r\n'
_CLOSE = b'close'


def retry_after(error: CallError) -> Headers:
    """Return the header field that tells when to retry, if it is known."""
    if not error.retry_after_seconds:
        return []
    return [(b'Retry-After', b'%.3f' % error.retry_after_seconds)]


@define(eq=False)
class AnswerWriter:
    """Write whole answers, or answers in parts as chunks.

    If an answer is started but not finished, the connection is closed without
    the last chunk, so that the client detects the truncation.
    """

    stream: trio.abc.SendStream
    keep_alive: bool
    idle_seconds: float
    started: bool = False
    finished: bool = False

    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send an answer of known length."""
        self.started = True
        length = (b'Content-Length', b'%d' % len(body))
        head = self._head(status, [*headers, length])
        await send_message(self.stream, head, body)
        self.finished = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer in parts."""
        self.started = True
        chunked = (b'Transfer-Encoding', b'chunked')
        await self.stream.send_all(self._head(status, [*headers, chunked]))

    async def send(self, part: bytes) -> None:
        """Send a part."""
        if part:
            await self.stream.send_all(b'%x\r\n%b\r\n' % (len(part), part))

    async def finish(self) -> None:
        """End an answer in parts."""
        await self.stream.send_all(_LAST_CHUNK)
        self.finished = True

    def _head(self, status: int, headers: Headers) -> bytes:
        line = b'HTTP/1.1 %d %b\r\n' % (status, _REASONS.get(status, b''))
        connection = [(b'Connection', _CLOSE)]
        if self.keep_alive:
            timeout = b'timeout=%d' % int(self.idle_seconds)
            connection = [(b'Keep-Alive', timeout)]
        block = header_block([*headers, *connection])
        return b'%b%b\r\n' % (line, block)
