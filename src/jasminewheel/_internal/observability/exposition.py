"""Expose counts of events and gauges in the Prometheus text format."""

import logging
from collections.abc import Callable, Iterator, Mapping

from attrs import frozen
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import GaugeMetricFamily, Metric

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import HttpRequest
from jasminewheel.errors import NotFoundError

CONTENT_TYPE = b'text/plain; version=0.0.4'
# Seconds; requests take from milliseconds to their deadline.
DURATION_BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8, 16)
_OUTCOMES = ('code', 'outcome', 'route')
_PREFIX = 'jasminewheel_'
_OK = 200

Gauges = Callable[[], Mapping[str, float]]


class EventCounts(logging.Handler):
    """Count events by number and outcome; time those with a seconds field."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the counter and the histogram."""
        super().__init__()
        self.events = Counter(
            f'{_PREFIX}events',
            'Numbered events, see docs/events.md.',
            ('event', 'outcome'),
            registry=registry,
        )
        self.seconds = Histogram(
            f'{_PREFIX}event_seconds',
            'Time of what an event ends.',
            ('event', 'outcome'),
            buckets=DURATION_BUCKETS,
            registry=registry,
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Count a record that holds an event."""
        number = getattr(record, 'event', None)
        if number is None:
            return
        outcome = _outcome(record.fields)
        self.events.labels(number, outcome).inc()
        seconds = record.fields.get('seconds')
        if seconds is not None:
            self.seconds.labels(number, outcome).observe(seconds)


@frozen
class GaugeReader:
    """Read the process's gauges at each scrape."""

    gauges: Gauges

    def collect(self) -> Iterator[Metric]:
        """Yield the current values."""
        for name, figure in self.gauges().items():
            yield GaugeMetricFamily(
                f'{_PREFIX}{name}', 'See docs/OPERATIONS.md.', figure
            )


@frozen
class MetricsPage:
    """Serve the metrics page."""

    registry: CollectorRegistry
    path: bytes = b'/metrics'

    async def answer(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer with all metrics as text, or 404 for another path."""
        if request.target != self.path:
            missing = NotFoundError('metrics are at /metrics')
            await answer.send_whole(
                missing.status, [], missing.message.encode()
            )
            return
        text = generate_latest(self.registry)
        await answer.send_whole(_OK, [(b'Content-Type', CONTENT_TYPE)], text)


def metrics_page(gauges: Gauges) -> MetricsPage:
    """Start to count the events of this process; return the page to serve."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    registry.register(GaugeReader(gauges))
    logging.getLogger().addHandler(EventCounts(registry))
    return MetricsPage(registry)


def _outcome(fields: Mapping[str, object]) -> str:
    candidates = (fields.get(name) for name in _OUTCOMES)
    return str(next(filter(None, candidates), ''))
