"""Read answers of servers that may send without end."""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import trio

# 16 MiB.
MAX_BODY_BYTES = 16777216
# One line of a stream: a token, or a block of a feed.
MAX_LINE_BYTES = 1048576
# Beyond the time that the server may be silent, for all of an answer.
BODY_TIMEOUT_SECONDS = 30.0


class OversizedAnswerError(httpx.TransportError):
    """Report an answer that is larger than any sound one."""


async def read_response(
    http: httpx.AsyncClient,
    method: str,
    path: str,
    *,
    max_bytes: int = MAX_BODY_BYTES,
    **options: Any,
) -> httpx.Response:
    """Return an answer; raise httpx.TransportError if it has no end."""
    read_timeout_seconds = options.get('timeout', http.timeout.read)
    try:
        with trio.fail_after(read_timeout_seconds + BODY_TIMEOUT_SECONDS):
            async with http.stream(method, path, **options) as answer:
                return httpx.Response(
                    answer.status_code,
                    content=await read_body(answer, max_bytes),
                    request=answer.request,
                )
    except trio.TooSlowError as error:
        raise httpx.ReadTimeout('the answer does not end') from error


async def read_body(
    answer: httpx.Response, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return a body; raise OversizedAnswerError if it is too large."""
    body = bytearray()
    async for part in answer.aiter_bytes():
        body += part
        if len(body) > max_bytes:
            raise OversizedAnswerError(f'an answer of over {max_bytes} bytes')
    return bytes(body)


async def read_lines(answer: httpx.Response) -> AsyncIterator[str]:
    """Yield the lines of a stream; raise OversizedAnswerError for long ones."""
    rest = bytearray()
    searched = 0
    async for part in answer.aiter_bytes():
        rest += part
        begin = 0
        end = rest.find(b'\n', searched)
        while end >= 0:
            yield rest[begin:end].decode(errors='replace').removesuffix('\r')
            begin = end + 1
            end = rest.find(b'\n', begin)
        if begin:
            rest = rest[begin:]
        searched = len(rest)
        if searched > MAX_LINE_BYTES:
            raise OversizedAnswerError(f'a line of over {MAX_LINE_BYTES} bytes')
