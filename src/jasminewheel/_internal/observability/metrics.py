"""Send metrics to statsd, or nowhere."""

from typing import Protocol

from statsd import StatsClient

from jasminewheel._internal.address import split_address


class Metrics(Protocol):
    """Count and time what the process does."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add count to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Drop all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a duration."""


def open_metrics(address: str, prefix: str) -> Metrics:
    """Return a client for a statsd address `ip:port`, or NoMetrics if empty."""
    if not address:
        return NoMetrics()
    host, port = split_address(address)
    return StatsClient(host, port, prefix=prefix)
