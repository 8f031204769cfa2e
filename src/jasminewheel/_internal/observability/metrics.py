"""Send metrics to statsd, or nowhere."""

from typing import Protocol

from statsd import StatsClient

from jasminewheel._internal.address import split_address


class Metrics(Protocol):
    """Represent the counters, gauges and timers of a metrics backend."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add count to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Discard all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""


def open_metrics(address: str, prefix: str) -> Metrics:
    """Return a client for a statsd address `ip:port`, or NoMetrics if empty."""
    if not address:
        return NoMetrics()
    host, port = split_address(address)
    return StatsClient(host, port, prefix=prefix)
