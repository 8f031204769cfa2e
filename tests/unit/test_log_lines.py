"""Check which lines are left out of the log above the rate limit."""

import json
import logging
import os

import pytest

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.observability.json_lines import (
    JsonFormatter,
    LineRateLimiter,
    StandardOutput,
)

MANY = 1000


@pytest.fixture
def pipe():
    """Open a pipe; yield its two descriptors."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _logger(handler: logging.Handler) -> logging.Logger:
    logger = logging.Logger('test', logging.INFO)
    handler.setFormatter(JsonFormatter('entry-1'))
    logger.addHandler(handler)
    return logger


def test_refusals_are_logged_before_routine_successes(pipe):
    """Successes above the limit are counted and leave room for refusals."""
    reader, writer = pipe
    handler = StandardOutput(writer)
    handler.addFilter(LineRateLimiter())
    logger = _logger(handler)
    for number in range(MANY):
        events.ENDED.log(logger, request=f'r{number}')
    for number in range(10):
        events.REFUSED.log(logger, request=f'refused-{number}')
    text = os.read(reader, 1000000).decode()
    lines = [json.loads(line) for line in text.splitlines()]
    refused = [one for one in lines if one['event'] == events.REFUSED.number]
    assert len(refused) == 10
    assert len(lines) < MANY
    assert refused[0]['left_out_before'] == MANY + 10 - len(lines)


def test_dropped_lines_are_counted(pipe):
    """A full pipe does not block; the next line has the number of losses."""
    reader, writer = pipe
    logger = _logger(StandardOutput(writer))
    wide = 'x' * 1000
    for _ in range(MANY):
        events.REFUSED.log(logger, request=wide)
    text = os.read(reader, 1000000).decode()
    events.REFUSED.log(logger, request='last')
    last = json.loads(os.read(reader, 1000000))
    assert last['dropped_before'] == MANY - text.count('\n')
