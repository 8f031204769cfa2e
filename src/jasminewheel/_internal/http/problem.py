"""Build responses with problem documents."""

from quart import Response

from jasminewheel.errors import CallError, JasminewheelError
from jasminewheel.models.problem import PROBLEM_MEDIA_TYPE, Problem

_UNAUTHORIZED = 401


def problem_response(error: JasminewheelError) -> Response:
    """Return the response that reports an error to a caller."""
    problem = Problem.of(error)
    response = Response(
        problem.encode(),
        status=problem.status,
        content_type=PROBLEM_MEDIA_TYPE,
    )
    if problem.retry_after_seconds:
        seconds = max(1, round(problem.retry_after_seconds))
        response.headers['Retry-After'] = str(seconds)
    if problem.status == _UNAUTHORIZED:
        response.headers['WWW-Authenticate'] = 'Bearer'
    return response


def http_error(status: int, detail: str) -> CallError:
    """Return the error for a request that the HTTP library refused."""
    error = CallError(detail)
    error.status = status
    error.code = 'http'
    return error
