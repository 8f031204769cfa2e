"""Export trace spans by OpenTelemetry, one for each hop of a request."""

import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from importlib import import_module
from pathlib import Path
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from jasminewheel._internal.observability.spans import install_tracer

_PROPAGATOR = TraceContextTextMapPropagator()
_HEADER = 'traceparent'


class FileSpanExporter(SpanExporter):
    """Append each span as one line of JSON to a file."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending."""
        self.stream = path.open('a', encoding='utf-8')

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            self.stream.write(json.dumps(json.loads(span.to_json(indent=None))))
            self.stream.write('\n')
        self.stream.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self.stream.close()


def start_tracing(member: str, path: Path | None, otlp: str = '') -> None:
    """Export spans to a file, to an OTLP endpoint, or nowhere."""
    provider = TracerProvider(
        resource=Resource.create({'service.name': member}),
    )
    if path:
        provider.add_span_processor(BatchSpanProcessor(FileSpanExporter(path)))
    if otlp:
        provider.add_span_processor(BatchSpanProcessor(_otlp_exporter(otlp)))
    trace.set_tracer_provider(provider)
    install_tracer(OpenTelemetryTracer())


def stop_tracing() -> None:
    """Flush buffered spans and stop the exporters."""
    provider = trace.get_tracer_provider()
    if isinstance(provider, TracerProvider):
        provider.shutdown()


class OpenTelemetryTracer:
    """Open spans by OpenTelemetry."""

    @contextmanager
    def open_span(
        self, name: str, traceparent: str, fields: dict[str, Any]
    ) -> Iterator[trace.Span]:
        """Open a span under the trace context, or under the current one."""
        context = None
        if traceparent:
            context = _PROPAGATOR.extract({_HEADER: traceparent})
        tracer = trace.get_tracer('jasminewheel')
        with tracer.start_as_current_span(
            name, context, attributes=fields
        ) as span:
            yield span

    def traceparent(self) -> str:
        """Return the current span as a W3C traceparent, or nothing."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier)
        return carrier.get(_HEADER, '')


def _otlp_exporter(endpoint: str) -> SpanExporter:
    # The exporter is an optional dependency: most fleets use the file.
    module = import_module(
        'opentelemetry.exporter.otlp.proto.http.trace_exporter'
    )
    return module.OTLPSpanExporter(endpoint=endpoint)
