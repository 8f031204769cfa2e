"""Define problem documents (RFC 9457) for failed requests."""

import json
from http import HTTPStatus

from attrs import asdict, frozen

from jasminewheel.errors import CallError, JasminewheelError
from jasminewheel.models.verdict import Verdict

PROBLEM_MEDIA_TYPE = 'application/problem+json'


@frozen
class Problem:
    """Represent a problem document; times in seconds."""

    title: str
    status: int
    detail: str
    code: str
    verdict: str
    remedy: str = ''
    retry_after_seconds: float = 0
    type: str = 'about:blank'

    @classmethod
    def of(cls, error: JasminewheelError) -> 'Problem':
        """Return the problem document of an error.

        An error other than CallError does not say whether the call ran, so its
        verdict is may_have_run.
        """
        if isinstance(error, CallError):
            return cls(
                title=error.code.replace('-', ' '),
                status=error.status,
                detail=error.message,
                code=error.code,
                verdict=error.verdict.value,
                remedy=error.remedy,
                retry_after_seconds=error.retry_after_seconds,
            )
        return cls(
            title=error.code.replace('-', ' '),
            status=HTTPStatus.INTERNAL_SERVER_ERROR,
            detail=error.message,
            code=error.code,
            verdict=Verdict.may_have_run.value,
            remedy=error.remedy,
        )

    def encode(self) -> bytes:
        """Return the document as JSON."""
        return json.dumps(asdict(self)).encode()
