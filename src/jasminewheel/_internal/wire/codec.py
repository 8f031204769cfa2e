"""Encode thrift structures in the compact protocol."""

from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from jasminewheel.errors import PeerError

StructT = TypeVar('StructT')
_FACTORY = TCompactProtocolAcceleratedFactory()


def encode(message: Any) -> bytes:
    """Return the message in the compact protocol."""
    return serialize(message, _FACTORY)


def decode(kind: type[StructT], body: bytes) -> StructT:
    """Return a message of the kind; raise PeerError for any other bytes."""
    try:
        return deserialize(kind(), body, _FACTORY)
    except Exception as error:
        raise PeerError(f'not a {kind.__name__}: {error!r}') from error
