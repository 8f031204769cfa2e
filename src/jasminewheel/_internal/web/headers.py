"""Look up, filter and encode header fields."""

from collections.abc import Iterable

# Pairs of name and value in the order and case received.
Headers = list[tuple[bytes, bytes]]

_CONNECTION = b'connection'
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


def field_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of the field; the name is in lower case."""
    return [found for key, found in headers if key.lower() == name]


def field_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the field; the name is in lower case."""
    return next(iter(field_values(headers, name)), None)


def field_text(headers: Headers, name: bytes) -> str:
    """Return the first value as text, or an empty string."""
    return (field_value(headers, name) or b'').decode('latin-1').strip()


def end_to_end(headers: Headers, without: Iterable[bytes] = ()) -> Headers:
    """Return the fields that may be forwarded: no hop-by-hop fields."""
    left_out = {*_HOP_BY_HOP, *without}
    for named in field_values(headers, _CONNECTION):
        left_out.update(part.strip().lower() for part in named.split(b','))
    return [
        (key, found) for key, found in headers if key.lower() not in left_out
    ]


def header_block(headers: Headers) -> bytes:
    """Return the fields encoded for the head of a message."""
    return b''.join(b'%b: %b\r\n' % pair for pair in headers)
