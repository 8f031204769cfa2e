"""Check that small pieces of answers are limited in number, not only bytes."""

import pytest

from jasminewheel._internal.web.answer_limits import (
    BODY_PARTS,
    HEADER_FIELDS,
    RESPONSES,
)
from jasminewheel._internal.web.response_parser import ResponseParser

STATUS = b'HTTP/1.1 200 OK\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
EMPTY = b'%bContent-Length: 0\r\n\r\n' % STATUS
# In pieces of this many bytes an answer arrives.
PIECE_BYTES = 4096


def _fed(sent: bytes) -> ResponseParser:
    parser = ResponseParser()
    for start in range(0, len(sent), PIECE_BYTES):
        parser.feed(sent[start : start + PIECE_BYTES])
    return parser


def test_head_of_countless_fields_is_cut_off():
    """Each field takes memory beside its bytes, so their number is limited."""
    parser = _fed(STATUS + b'X:y\r\n' * 1000)
    assert parser.exceeded == 'header fields'
    assert len(parser.headers) <= HEADER_FIELDS
    fields = b'X:y\r\n' * HEADER_FIELDS
    assert _fed(b'%b%b\r\n' % (STATUS, fields)).responses


def test_trailer_of_countless_fields_is_cut_off():
    """Fields after a body count as well."""
    head = b'%bTransfer-Encoding: chunked\r\n\r\n0\r\n' % STATUS
    assert _fed(head + b'X:y\r\n' * 1000).exceeded == 'header fields'


@pytest.mark.parametrize('response', [INTERIM, EMPTY])
def test_countless_responses_are_cut_off(response):
    """A response takes time and memory, however few its bytes are."""
    parser = _fed(response * 1000)
    assert parser.exceeded == 'responses'
    assert parser.broken
    assert len(parser.responses) <= RESPONSES


def test_answer_before_countless_responses_is_kept():
    """A whole answer counts, whatever follows it."""
    parser = _fed(EMPTY + INTERIM * 1000)
    assert parser.responses[0].complete
    assert parser.broken


def test_responses_are_counted_for_each_request():
    """A connection that serves many requests is not cut off."""
    parser = ResponseParser()
    for _ in range(10 * RESPONSES):
        parser.begin_exchange()
        parser.feed(INTERIM + EMPTY)
        assert parser.responses.popleft().complete
    assert not parser.broken


def test_body_of_countless_parts_is_cut_off():
    """The parts of a body are limited, as each of them costs time."""
    head = b'%bTransfer-Encoding: chunked\r\n\r\n' % STATUS
    parser = _fed(head + b'1\r\na\r\n' * (BODY_PARTS + 1))
    assert parser.exceeded == 'parts of a body'
    assert _fed(head + b'1\r\na\r\n' * BODY_PARTS).responses[0].parts
