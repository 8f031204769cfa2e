"""Call the entries as an agent framework does, with safe retries."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from itertools import cycle
from typing import Any

import httpx
import trio
from attrs import frozen

from jasminewheel._internal.http.sse import ServerSentEvent, parse_events
from jasminewheel.models.verdict import Verdict

MAX_ATTEMPTS = 8
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2
CALL_TIMEOUT_SECONDS = 60
OVERLOADED_STATUS = 429
UNAVAILABLE_STATUS = 503
RETRYABLE_STATUSES = frozenset((OVERLOADED_STATUS, UNAVAILABLE_STATUS))


class RefusedError(Exception):
    """Report that the response to a call was a problem document."""

    def __init__(self, status: int, problem: Mapping[str, Any]) -> None:
        """Read the code, the verdict and the retry delay from the problem."""
        super().__init__(f'{status} {problem.get("detail", "")}')
        self.status = status
        self.code = str(problem.get('code', ''))
        self.verdict = Verdict(problem.get('verdict', 'may-have-run'))
        self.retry_after_seconds = float(
            problem.get('retry_after_seconds') or 0
        )

    @property
    def is_overloaded(self) -> bool:
        """Return whether the call was refused due to overload."""
        return self.status == OVERLOADED_STATUS


class NoAnswerError(Exception):
    """Report that no entry returned a complete answer."""


@frozen
class Reply:
    """Represent the status and JSON body of one response."""

    status: int
    fields: Mapping[str, Any]


class CallerClient:
    """Send one caller's requests to the entries in turn."""

    def __init__(
        self, http: httpx.AsyncClient, entries: Sequence[str], key: str
    ) -> None:
        """Select the entries round-robin, as the platform's balancer does."""
        self.http = http
        self.entries = cycle(entries)
        self.key = key

    async def post(
        self, path: str, request_id: str, body: Mapping[str, Any]
    ) -> Reply:
        """Return the reply; retry with the same identifier if it is lost."""
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._post_once(path, request_id, body)
            except RefusedError as refusal:
                await pause_before_retry(refusal, attempt)
            except httpx.TransportError as error:
                await pause_after_loss(error, attempt)

    async def delete(self, path: str) -> None:
        """End a program; ignore connection errors after the last attempt."""
        attempt = 0
        while attempt < MAX_ATTEMPTS:
            attempt += 1
            try:
                await self.http.delete(
                    f'{next(self.entries)}{path}', headers=self._headers('')
                )
            except httpx.TransportError:
                await trio.sleep(RETRY_SECONDS)
            else:
                return

    @asynccontextmanager
    async def stream(
        self, path: str, request_id: str, body: Mapping[str, Any]
    ) -> AsyncIterator[AsyncIterator[ServerSentEvent]]:
        """Open the event stream of an answer."""
        async with self.http.stream(
            'POST',
            f'{next(self.entries)}{path}',
            json=body,
            headers=self._headers(request_id),
            timeout=CALL_TIMEOUT_SECONDS,
        ) as response:
            await _raise_for_problem(response)
            yield parse_events(response.aiter_lines())

    @asynccontextmanager
    async def resume(
        self, path: str, offset: int
    ) -> AsyncIterator[AsyncIterator[ServerSentEvent]]:
        """Resume the event stream of an answer from a character offset."""
        async with self.http.stream(
            'GET',
            f'{next(self.entries)}{path}/stream',
            params={'offset': offset},
            headers=self._headers(''),
            timeout=CALL_TIMEOUT_SECONDS,
        ) as response:
            await _raise_for_problem(response)
            yield parse_events(response.aiter_lines())

    async def _post_once(
        self, path: str, request_id: str, body: Mapping[str, Any]
    ) -> Reply:
        response = await self.http.post(
            f'{next(self.entries)}{path}',
            json=body,
            headers=self._headers(request_id),
            timeout=CALL_TIMEOUT_SECONDS,
        )
        await _raise_for_problem(response)
        return Reply(response.status_code, response.json())

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {'Authorization': f'Bearer {self.key}'}
        if request_id:
            headers['Idempotency-Key'] = request_id
        return headers


async def _raise_for_problem(response: httpx.Response) -> None:
    if response.is_success:
        return
    await response.aread()
    try:
        problem = response.json()
    except ValueError:
        problem = {'detail': response.text}
    raise RefusedError(response.status_code, problem)


async def pause_before_retry(refusal: RefusedError, attempt: int) -> None:
    """Wait before a retry, or raise the refusal if a retry is unsafe."""
    is_safe = refusal.verdict is Verdict.not_run
    is_retryable = refusal.status in RETRYABLE_STATUSES
    if attempt >= MAX_ATTEMPTS or not (is_safe and is_retryable):
        raise refusal
    pause = max(refusal.retry_after_seconds, RETRY_SECONDS)
    await trio.sleep(min(pause, MAX_RETRY_SECONDS))


async def pause_after_loss(error: httpx.TransportError, attempt: int) -> None:
    """Wait before trying the next entry.

    Raises NoAnswerError once the attempts are exhausted.
    """
    if attempt >= MAX_ATTEMPTS:
        raise NoAnswerError(str(error)) from error
    await trio.sleep(RETRY_SECONDS * attempt)
