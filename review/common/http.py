"""Speak HTTP/1.1 over asyncio streams, as far as the cases need it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

HEAD_BYTES = 65536


@dataclass
class Request:
    """Represent one request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]


@dataclass
class Answer:
    """Represent an answer as a client received it."""

    # 0 if no head arrived.
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    # Whether the body arrived up to its end.
    whole: bool = False


class Responder:
    """Write one answer to a connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Write to a connection."""
        self.writer = writer

    async def whole(
        self, status: int, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Send an answer of known length."""
        fields = {**headers, 'Content-Length': str(len(body))}
        self.writer.write(_head(f'HTTP/1.1 {status} -', fields) + body)
        await self.writer.drain()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Start an answer in chunks."""
        fields = {**headers, 'Transfer-Encoding': 'chunked'}
        self.writer.write(_head(f'HTTP/1.1 {status} -', fields))
        await self.writer.drain()

    async def chunk(self, part: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        self.writer.write(b'%x\r\n%b\r\n' % (len(part), part))
        await self.writer.drain()


class NoAnswer(Exception):
    """End a connection without an answer."""


class Silence(Exception):
    """Keep a connection open, but never answer on it again."""


Handler = Callable[[Request, Responder], Awaitable[None]]


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests, one after the other on each connection."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                await handler(request, Responder(writer))
        except Silence:
            await reader.read()
        except (NoAnswer, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(accept, host, port, limit=HEAD_BYTES)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request."""
    line, headers = await _read_head(reader)
    method, target, _ = line.split(' ', 2)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


async def ask(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    *,
    timeout: float = 10,
) -> Answer:
    """Send one request on a new connection; return what came back."""
    answer = Answer()
    try:
        await asyncio.wait_for(
            _exchange(address, method, target, headers, body, answer), timeout
        )
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    return answer


class Kept:
    """Keep one connection open for many requests, as a client does."""

    def __init__(self, address: str) -> None:
        """Open the connection at the first request."""
        self.address = address
        self.streams: tuple | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a connection is open."""
        return self.streams is not None

    def close(self) -> None:
        """Close the connection."""
        if self.streams:
            self.streams[1].close()
        self.streams = None

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b'',
        *,
        timeout: float = 10,
    ) -> Answer:
        """Send a request; close the connection where the answer says so."""
        answer = Answer()
        try:
            await asyncio.wait_for(
                self._ask(method, target, headers, body, answer), timeout
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()
        return answer

    async def _ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        answer: Answer,
    ) -> None:
        if self.streams is None:
            host, _, port = self.address.rpartition(':')
            self.streams = await asyncio.open_connection(host, int(port))
        reader, writer = self.streams
        fields = {**headers, 'Content-Length': str(len(body))}
        writer.write(_head(f'{method} {target} HTTP/1.1', fields) + body)
        await _read_answer(reader, answer)


async def _exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    answer: Answer,
) -> None:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = dict(headers)
        if body or method != 'GET':
            fields['Content-Length'] = str(len(body))
        writer.write(_head(f'{method} {target} HTTP/1.1', fields) + body)
        await writer.drain()
        await _read_answer(reader, answer)
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    line, answer.headers = await _read_head(reader)
    answer.status = int(line.split(' ')[1])
    if answer.headers.get('transfer-encoding') == 'chunked':
        size = await _chunk_size(reader)
        while size:
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            size = await _chunk_size(reader)
        await reader.readexactly(2)
    else:
        length = int(answer.headers.get('content-length', 0))
        answer.body = await reader.readexactly(length)
    answer.whole = True


async def _chunk_size(reader: asyncio.StreamReader) -> int:
    return int(await reader.readuntil(b'\r\n'), 16)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.removesuffix('\r\n\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:])
    return lines[0], {name.lower(): text.strip() for name, _, text in pairs}


def _head(line: str, headers: dict[str, str]) -> bytes:
    fields = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    return f'{line}\r\n{fields}\r\n'.encode('latin-1')
