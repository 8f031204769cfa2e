"""Open trace spans by the tracer that the process has installed, if any."""

from contextlib import AbstractContextManager, nullcontext
from typing import Any, Protocol


class Tracer(Protocol):
    """Open spans and identify the current one."""

    def open_span(
        self, name: str, traceparent: str, fields: dict[str, Any]
    ) -> AbstractContextManager[Any]:
        """Open a span under the trace context, or under the current one."""

    def traceparent(self) -> str:
        """Return the current span as a W3C traceparent, or nothing."""


class NoTracer:
    """Trace nothing, so that processes without tracing import no library."""

    def open_span(
        self, name: str, traceparent: str, fields: dict[str, Any]
    ) -> AbstractContextManager[Any]:
        """Return a context that does nothing."""
        return nullcontext()

    def traceparent(self) -> str:
        """Return nothing."""
        return ''


class _Installed:
    tracer: Tracer = NoTracer()


def install_tracer(tracer: Tracer) -> None:
    """Use the tracer for all spans from now on."""
    _Installed.tracer = tracer


def open_span(
    name: str, traceparent: str = '', **fields: Any
) -> AbstractContextManager[Any]:
    """Open a span under the given trace context, or under the current one."""
    return _Installed.tracer.open_span(name, traceparent, fields)


def current_traceparent() -> str:
    """Return the current span as a W3C traceparent, or an empty string."""
    return _Installed.tracer.traceparent()
