"""Write log records as JSON lines to standard output without blocking."""

import json
import logging
import os
import sys
import time

# Above this rate, lines below the level of a warning are left out and counted.
LINES_PER_SECOND = 100
BURST_LINES = 200
# Part of the burst that routine lines (successes) leave free for refusals,
# retries and changes of state.
RESERVED_LINES = 100
_STDOUT = 1


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object."""

    def __init__(self, process: str) -> None:
        """Add the name of the process to each line."""
        super().__init__()
        self.process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'process': self.process,
            'logger': record.name,
        }
        event = getattr(record, 'event', None)
        if event is None:
            line['message'] = record.getMessage()
        else:
            line['event'] = event
            line['message'] = record.args[1]
            line.update(record.fields)
        left_out = getattr(record, 'left_out', 0)
        if left_out:
            line['left_out_before'] = left_out
        dropped = getattr(record, 'dropped', 0)
        if dropped:
            line['dropped_before'] = dropped
        if record.exc_info:
            line['trace'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class LineRateLimiter(logging.Filter):
    """Limit the rate of lines below a warning by a token bucket.

    Lines that are left out are counted; the count goes into the next line.
    """

    def __init__(self) -> None:
        """Start with a full bucket."""
        super().__init__()
        self.allowance: float = BURST_LINES
        self.refilled_at = time.monotonic()
        self.left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + refill)
        self.refilled_at = now
        reserved = RESERVED_LINES if getattr(record, 'routine', False) else 0
        if self.allowance < 1 + reserved and record.levelno < logging.WARNING:
            self.left_out += 1
            return False
        self.allowance -= 1
        record.left_out = self.left_out
        return True


class StandardOutput(logging.Handler):
    """Write lines without blocking; drop and count those that do not fit."""

    def __init__(self, descriptor: int = _STDOUT) -> None:
        """Make standard output non-blocking."""
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, with the number of dropped lines."""
        record.dropped = self.dropped
        line = f'{self.format(record)}\n'.encode()
        try:
            os.write(self.descriptor, line)
        except OSError:
            # The pipe is full; the next written line has the new count.
            self.dropped += 1


def start_json_logging(process: str, level: str = 'INFO') -> None:
    """Send all log lines of this process to standard output."""
    handler = StandardOutput()
    handler.setFormatter(JsonFormatter(process))
    handler.addFilter(LineRateLimiter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    sys.excepthook = _log_exception


def _log_exception(kind, error, trace) -> None:
    exc_info = (kind, error, trace)
    logging.getLogger(__name__).critical('ended', exc_info=exc_info)
