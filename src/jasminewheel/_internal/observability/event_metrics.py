"""Count numbered events as metrics."""

import logging

from jasminewheel._internal.observability.metrics import Metrics


class EventCounter(logging.Handler):
    """Count each event under `event.<number>`."""

    def __init__(self, metrics: Metrics) -> None:
        """Count in the given metrics."""
        super().__init__()
        self.metrics = metrics

    def emit(self, record: logging.LogRecord) -> None:
        """Count a record that holds an event."""
        number = getattr(record, 'event', None)
        if number is not None:
            self.metrics.incr(f'event.{number}')


def count_events(metrics: Metrics) -> None:
    """Count the events of this process from now on."""
    logging.getLogger().addHandler(EventCounter(metrics))
