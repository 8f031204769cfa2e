"""Encode and decode errors that a peer returns."""

from collections.abc import Iterator
from contextlib import suppress

from jasminewheel._internal.wire.gen.frame.ttypes import Failure
from jasminewheel.errors import CallError, JasminewheelError, PeerError
from jasminewheel.models.verdict import Verdict


def failure_of(error: JasminewheelError) -> Failure:
    """Return the wire form of an error."""
    failure = Failure(
        code=error.code,
        message=error.message,
        remedy=error.remedy,
        verdict='',
        retry_after_seconds=0,
    )
    if isinstance(error, CallError):
        failure.verdict = error.verdict.value
        failure.retry_after_seconds = error.retry_after_seconds
    return failure


def error_of(failure: Failure) -> JasminewheelError:
    """Return an error of the type that the peer raised, or a PeerError."""
    kind = _kind_of(failure.code)
    if issubclass(kind, CallError):
        return kind(
            failure.message,
            verdict=Verdict(failure.verdict),
            remedy=failure.remedy,
            retry_after_seconds=failure.retry_after_seconds,
        )
    error = PeerError(failure.message, remedy=failure.remedy)
    # A type whose constructor needs further arguments becomes a PeerError.
    with suppress(TypeError):
        return kind(failure.message, remedy=failure.remedy)
    return error


def _kind_of(code: str) -> type[JasminewheelError]:
    for kind in _kinds(JasminewheelError):
        if kind.code == code:
            return kind
    return PeerError


def _kinds(root: type[JasminewheelError]) -> Iterator[type[JasminewheelError]]:
    yield root
    for kind in root.__subclasses__():
        yield from _kinds(kind)
