"""Check what the platform's adapter reads from the heads of answers."""

import pytest

from jasminewheel._internal.web.response_parser import ResponseParser
from jasminewheel.platform.runner_protocol import PlatformAnswer


def _answer(status: int, *fields: bytes) -> PlatformAnswer:
    parser = ResponseParser()
    head = [b'HTTP/1.1 %d X' % status, b'Content-Length: 0', *fields]
    parser.feed(b'\r\n'.join([*head, b'', b'']))
    return PlatformAnswer(None, parser.responses[0], None)


@pytest.mark.parametrize(
    ('status', 'field', 'leaving'),
    [
        (200, b'Server-Leaving: 1', True),
        (503, b'server-leaving: 1', True),
        (500, b'Server-Leaving: 1', True),
        (200, b'Server-Leaving: 0', False),
        (200, b'Server-Load: 1,0,6', False),
        (421, b'Server-Leaving: 1', False),
    ],
)
def test_runner_says_that_it_leaves(status, field, leaving):
    """Any answer may say so, but not that of a runner that was not meant."""
    assert _answer(status, field).leaving is leaving


@pytest.mark.parametrize(
    ('status', 'field', 'rate'),
    [
        (200, b'Server-Limit: 2.25', 2.25),
        (503, b'server-limit: 3', 3),
        (200, b'Server-Limit: 0', 0),
        (200, b'Server-Load: 1,0,6', None),
        (200, b'Server-Limit: -1', None),
        (200, b'Server-Limit: nan', None),
        (200, b'Server-Limit: 1e9', None),
        (200, b'Server-Limit: ', None),
        (421, b'Server-Limit: 2', None),
    ],
)
def test_runner_names_its_limit(status, field, rate):
    """A rate is a decimal number."""
    assert _answer(status, field).limit_rate == rate
