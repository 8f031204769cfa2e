"""Check that only complete, unambiguous requests are accepted."""

import pytest
from hypothesis import given
from hypothesis import strategies as some

from jasminewheel._internal.web.request_parser import (
    RequestLimits,
    RequestParser,
)

HEAD = b'POST /a/b HTTP/1.1\r\nHost: h\r\n'
LIMITS = RequestLimits(header_bytes=512, body_bytes=64)


def _parse(*parts: bytes) -> RequestParser:
    parser = RequestParser(LIMITS)
    for part in parts:
        parser.feed(part, 1.0)
    return parser


def test_complete_requests_are_parsed_in_order():
    """Two requests received in one block are parsed separately."""
    first = b'Content-Length: 3\r\n\r\nabc'
    second = b'GET /c HTTP/1.1\r\nHost: h\r\n\r\n'
    parser = _parse(b''.join((HEAD, first, second)))
    parsed = [(one.method, one.target, one.body) for one in parser.complete]
    assert parsed == [(b'POST', b'/a/b', b'abc'), (b'GET', b'/c', b'')]
    assert parser.fault is None


def test_chunks_make_one_body():
    """The chunks of a body are joined."""
    parser = _parse(
        HEAD,
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'2\r\nab\r\n',
        b'1\r\nc\r\n0\r\n\r\n',
    )
    assert parser.complete[0].body == b'abc'


@pytest.mark.parametrize(
    ('block', 'status'),
    [
        ('{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab', 400),
        ('{head}Content-Length: 5\r\n{chunked}\r\n0\r\n\r\n', 400),
        ('{head}Transfer-Encoding: xchunked\r\n\r\n', 400),
        ('{head}{chunked}\r\nzz\r\n', 400),
        ('{head}{chunked}\r\n3\nabc\n0\n\n', 400),
        ('{head}Content-Length: -1\r\n\r\n', 400),
        ('{head}X : y\r\n\r\n', 400),
        ('{head}Host: other\r\n\r\n', 400),
        ('POST /a HTTP/1.1\r\n\r\n', 400),
        ('POST /a HTTP/1.0\r\nHost: h\r\n\r\n', 400),
        ('GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n', 400),
        ('GET /a HTTP/1.1\nHost: h\n\n', 400),
        ('CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n', 400),
        ('{head}Upgrade: x\r\nConnection: upgrade\r\n\r\n', 400),
        ('{head}Content-Length: 65\r\n\r\n', 413),
        ('{head}{chunked}\r\n41\r\n{long}', 413),
        ('{head}X: {long}\r\n\r\n', 431),
        ('{head}X: {long}', 431),
    ],
)
def test_ambiguous_or_oversized_bytes_are_no_request(block, status):
    """Requests that are ambiguous or too large are refused."""
    text = block.format(
        head=HEAD.decode(),
        chunked='Transfer-Encoding: chunked\r\n',
        long='a' * 600,
    )
    parser = _parse(text.encode())
    assert not parser.complete
    assert parser.fault.status == status


@given(some.binary(max_size=200), some.integers(0, 200))
def test_any_bytes_end_in_requests_or_a_fault(noise, cut):
    """No bytes raise an exception, and no body exceeds its limit."""
    block = b''.join((HEAD, noise))
    parser = _parse(block[:cut], block[cut:])
    assert all(len(one.body) <= LIMITS.body_bytes for one in parser.complete)


@given(some.lists(some.binary(min_size=1, max_size=9), max_size=4), some.data())
def test_requests_do_not_depend_on_chunk_boundaries(bodies, data):
    """Requests are the same wherever the network splits them."""
    blocks = [
        b'%bContent-Length: %d\r\n\r\n%b' % (HEAD, len(body), body)
        for body in bodies
    ]
    sent = b''.join(blocks)
    cut = data.draw(some.integers(0, len(sent)))
    parser = _parse(*filter(None, (sent[:cut], sent[cut:])))
    assert [one.body for one in parser.complete] == bodies
