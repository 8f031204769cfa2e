"""Map failures of targets to errors that say whether the request ran."""

from collections.abc import Iterator
from contextlib import contextmanager

import httpx
import trio

from jasminewheel.errors import (
    FencedError,
    JasminewheelError,
    NotFoundError,
    TargetFailedError,
)
from jasminewheel.models.verdict import Verdict

_NOT_FOUND = 404
_CONFLICT = 409
_FIRST_SERVER_ERROR = 500
_PROBLEM_CHARACTERS = 300
_DECODE_ERRORS = (KeyError, TypeError, ValueError, RecursionError)
# Raised before the first byte of a request is sent.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@contextmanager
def target_errors(url: str) -> Iterator[None]:
    """Raise TargetFailedError with its verdict for failures of the target."""
    try:
        yield
    except _NOT_SENT_ERRORS as unsent:
        raise TargetFailedError(f'{url}: cannot connect') from unsent
    except (httpx.HTTPError, httpx.StreamError, trio.TooSlowError) as error:
        raise incomplete_answer(url, repr(error)) from error
    except _DECODE_ERRORS as error:
        raise incomplete_answer(url, f'unreadable answer: {error!r}') from error


def incomplete_answer(url: str, problem: str) -> TargetFailedError:
    """Return the error for a sent request without a complete answer."""
    return TargetFailedError(
        f'{url}: {problem}',
        verdict=Verdict.may_have_run,
    )


def status_error(url: str, status: int, body: str) -> JasminewheelError:
    """Return the error for an HTTP error status, with its verdict."""
    excerpt = body.strip()[:_PROBLEM_CHARACTERS]
    problem = f'{url}: {status}: {excerpt}'
    if status >= _FIRST_SERVER_ERROR:
        return TargetFailedError(problem, verdict=Verdict.may_have_run)
    if status == _NOT_FOUND:
        return NotFoundError(problem)
    if status == _CONFLICT:
        return FencedError(problem)
    return TargetFailedError(problem)
