"""Check how the client parses any bytes that a runner may send."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewheel._internal.web.answer_limits import HEAD_BYTES
from jasminewheel._internal.web.response_parser import ResponseParser

LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%b'
BODIES = st.binary(max_size=200)


def _fed(sent: bytes, cuts: list[int]) -> ResponseParser:
    parser = ResponseParser()
    edges = sorted({0, len(sent), *(cut % (len(sent) + 1) for cut in cuts)})
    for start, end in zip(edges, edges[1:], strict=False):
        parser.feed(sent[start:end])
    return parser


CUTS = st.lists(st.integers(0, 1000), max_size=8)


@given(sent=st.binary(max_size=400), cuts=CUTS)
def test_any_bytes_end_in_a_response_or_a_broken_parser(sent, cuts):
    """No bytes raise an exception; a complete response has a valid status."""
    parser = _fed(sent, cuts)
    for response in parser.responses:
        assert 100 <= response.status <= 999 or not response.complete


@given(body=BODIES, cuts=CUTS)
def test_body_does_not_depend_on_chunk_boundaries(body, cuts):
    """Chunks of any size give the same body."""
    parser = _fed(LENGTH % (len(body), body), cuts)
    assert parser.responses[0].complete
    assert b''.join(parser.responses[0].parts) == body


@given(body=BODIES.filter(bool), missing=st.integers(1, 200), cuts=CUTS)
def test_short_body_is_never_complete(body, missing, cuts):
    """A response shorter than its length is incomplete."""
    parser = _fed(LENGTH % (len(body) + missing, body), cuts)
    parser.feed(b'')
    assert not parser.responses[0].complete


@given(chunks=st.lists(BODIES.filter(bool), min_size=1, max_size=5))
def test_chunks_without_their_end_are_never_complete(chunks):
    """A chunked response is complete with its last chunk only."""
    parts = [b'%x\r\n%b\r\n' % (len(one), one) for one in chunks]
    sent = CHUNKED % b''.join(parts)
    assert not _fed(sent, []).responses[0].complete
    whole = _fed(b'%b0\r\n\r\n' % sent, []).responses[0]
    assert whole.complete
    assert b''.join(whole.parts) == b''.join(chunks)


@given(extra=st.binary(min_size=1, max_size=50))
def test_bytes_after_a_whole_response_are_not_part_of_it(extra):
    """Bytes after a response belong to no request, nor to its body."""
    parser = _fed(LENGTH % (4, b'body%b' % extra), [])
    assert b''.join(parser.responses[0].parts) == b'body'


@given(cuts=CUTS, value=st.binary(min_size=1, max_size=9).map(bytes.hex))
def test_trailer_fields_are_not_header_fields(cuts, value):
    """A field after the body is not added to the fields of the head."""
    trailer = b'Not-Executed: %b\r\n' % value.encode()
    sent = CHUNKED % b'1\r\na\r\n0\r\n%b\r\n' % trailer
    response = _fed(sent, cuts).responses[0]
    assert response.complete
    assert [name for name, _ in response.headers] == [b'Transfer-Encoding']


@pytest.mark.parametrize('before', [b'', LENGTH % (0, b'')])
@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 ', b'a'),
        (b'HTTP/1.1 200 OK\r\n', b'a'),
        (b'HTTP/1.1 200 OK\r\na: ', b'a'),
        (b'HTTP/1.1 200 OK\r\n', b'a: a\r\n'),
        (b'\r\n', b'\r\n'),
    ],
)
def test_head_without_end_breaks_the_parser(before, start, repeated):
    """The size of a head is limited, for the first response and later ones."""
    parser = ResponseParser()
    parser.feed(before + start)
    for _ in range(2 * HEAD_BYTES // 1024):
        parser.feed(repeated * (1024 // len(repeated)))
    assert parser.broken
