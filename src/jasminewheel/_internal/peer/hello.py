"""Authenticate both ends of a connection with the fleet's shared key.

Each end sends a hello with a nonce, then proves by a MAC over both hellos that
it has the key. The MAC keys of the frames are derived from the same hellos.
"""

import hmac
import secrets

import trio
from attrs import frozen

from jasminewheel._internal.peer.frames import (
    MAC_BYTES,
    ByteReader,
    FrameReader,
    FrameAuthenticator,
    FrameWriter,
    prefixed,
)
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.frame.ttypes import Hello, Proof
from jasminewheel.errors import PeerError

HANDSHAKE_TIMEOUT_SECONDS = 3.0
MAX_HELLO_BYTES = 4096
NONCE_BYTES = 32
PROTOCOL_VERSION = 1

_DIALLER = b'dialler'
_LISTENER = b'listener'


@frozen
class PeerLink:
    """Represent an authenticated connection."""

    stream: trio.SocketStream
    peer: PeerIdentity
    reader: FrameReader
    writer: FrameWriter


async def authenticate(
    stream: trio.SocketStream,
    identity: PeerIdentity,
    key: bytes,
    *,
    is_dialler: bool,
) -> PeerLink:
    """Exchange hellos and proofs with the peer.

    Raise PeerError, with nothing sent for a request, if the handshake fails
    or takes longer than HANDSHAKE_TIMEOUT_SECONDS.
    """
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
            return await _authenticate(
                stream, identity, key, is_dialler=is_dialler
            )
    except (trio.TooSlowError, trio.BrokenResourceError, EOFError) as error:
        raise PeerError(
            f'no hello from the peer: {error}', sent=False
        ) from error
    except PeerError as refused:
        refused.sent = False
        raise


async def _authenticate(
    stream: trio.SocketStream,
    identity: PeerIdentity,
    key: bytes,
    *,
    is_dialler: bool,
) -> PeerLink:
    own_role, peer_role = (
        (_DIALLER, _LISTENER) if is_dialler else (_LISTENER, _DIALLER)
    )
    reader = ByteReader(stream)
    own_hello = _hello_of(identity)
    await stream.send_all(prefixed(own_hello))
    peer_hello = await reader.take_prefixed(MAX_HELLO_BYTES)
    ordered = [own_hello, peer_hello] if is_dialler else [peer_hello, own_hello]
    transcript = b''.join(prefixed(hello) for hello in ordered)
    peer = _peer_of(peer_hello, own_hello)
    proof = Proof(mac=_derive(key, b'proof', own_role, transcript))
    await stream.send_all(prefixed(encode(proof)))
    await _check_proof(reader, _derive(key, b'proof', peer_role, transcript))
    return PeerLink(
        stream,
        peer,
        FrameReader(
            reader,
            FrameAuthenticator(_derive(key, b'frames', peer_role, transcript)),
        ),
        FrameWriter(
            stream,
            FrameAuthenticator(_derive(key, b'frames', own_role, transcript)),
        ),
    )


async def _check_proof(reader: ByteReader, expected: bytes) -> None:
    proof = decode(Proof, await reader.take_prefixed(MAX_HELLO_BYTES))
    mac = proof.mac or b''
    if len(mac) != MAC_BYTES or not hmac.compare_digest(mac, expected):
        raise PeerError(
            'the peer does not have the fleet key',
            remedy='give every process the same key file',
        )


def _hello_of(identity: PeerIdentity) -> bytes:
    return encode(
        Hello(
            member=identity.member,
            incarnation=identity.incarnation,
            zone=identity.zone,
            nonce=secrets.token_bytes(NONCE_BYTES),
            version=PROTOCOL_VERSION,
        ),
    )


def _peer_of(peer_hello: bytes, own_hello: bytes) -> PeerIdentity:
    hello = decode(Hello, peer_hello)
    if hello.version != PROTOCOL_VERSION:
        raise PeerError(f'unsupported protocol version {hello.version}')
    if peer_hello == own_hello or len(hello.nonce or b'') != NONCE_BYTES:
        raise PeerError('the hello of the peer has no valid nonce of its own')
    fields = (hello.member, hello.incarnation, hello.zone)
    if None in fields:
        raise PeerError(
            'the hello of the peer lacks member, incarnation or zone'
        )
    return PeerIdentity(*fields)


def _derive(key: bytes, label: bytes, role: bytes, transcript: bytes) -> bytes:
    message = prefixed(label) + prefixed(role) + transcript
    return hmac.digest(key, message, 'sha256')
