"""Read responses within limits, since servers may send without end."""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import trio

# 16 MiB in one response body.
MAX_BODY_BYTES = 16777216
# One line of a stream holds a token or a block of a feed.
MAX_LINE_BYTES = 1048576
# Limit for a whole response, in addition to the client's read timeout.
BODY_TIMEOUT_SECONDS = 30.0


class OversizedAnswerError(httpx.TransportError):
    """Report a response over the limit of its body or a line."""


async def read_response(
    http: httpx.AsyncClient,
    method: str,
    path: str,
    *,
    max_bytes: int = MAX_BODY_BYTES,
    **options: Any,
) -> httpx.Response:
    """Return a whole response.

    Raise httpx.TransportError if it exceeds the limits of size or time.
    """
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
        raise httpx.ReadTimeout(
            'response did not end within the time limit'
        ) from error


async def read_body(
    answer: httpx.Response, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return a body; raise OversizedAnswerError if it is over `max_bytes`."""
    body = bytearray()
    async for part in answer.aiter_bytes():
        body += part
        if len(body) > max_bytes:
            raise OversizedAnswerError(
                f'response body is over {max_bytes} bytes'
            )
    return bytes(body)


async def read_lines(answer: httpx.Response) -> AsyncIterator[str]:
    """Yield a stream's lines; raise OversizedAnswerError for a long one."""
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
            raise OversizedAnswerError(
                f'response line is over {MAX_LINE_BYTES} bytes'
            )
