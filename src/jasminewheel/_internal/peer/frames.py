"""Read and write length-prefixed frames, each with its own MAC.

A frame is the length of what follows, the MAC, and the encoded envelope.
"""

import hmac
import struct
from collections import deque
from contextlib import ExitStack

import trio
from attrs import define, field

from jasminewheel._internal.peer.sockets import BROKEN_STREAM_ERRORS
from jasminewheel._internal.peer.traffic import TRAFFIC
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.frame.ttypes import Envelope
from jasminewheel.errors import PeerError

# 16 MiB; for the encoded envelope, without its MAC.
MAX_FRAME_BYTES = 16777216
# 1 MiB; senders wait while more is queued, and one write has about this size.
MAX_QUEUED_BYTES = 1048576
CHUNK_BYTES = 65536
MAC_BYTES = 32
# A frame whose next bytes take longer has stopped arriving.
STALL_SECONDS = 0.3
BROKEN_ERRORS = (*BROKEN_STREAM_ERRORS, EOFError, PeerError)

_LENGTH = struct.Struct('>I')
_COUNTER = struct.Struct('>Q')


class ByteReader:
    """Read exact numbers of bytes from a stream."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        """Start with an empty buffer."""
        self.stream = stream
        self.buffer = bytearray()
        self.last_received_at: float = 0

    async def take(self, count: int) -> bytes:
        """Return the next count bytes; raise EOFError at the end."""
        while len(self.buffer) < count:
            chunk = await self.stream.receive_some(CHUNK_BYTES)
            if not chunk:
                raise EOFError('the peer closed the connection')
            self.last_received_at = trio.current_time()
            self.buffer += chunk
        taken = bytes(self.buffer[:count])
        self.buffer = self.buffer[count:]
        return taken

    async def take_prefixed(self, limit: int) -> bytes:
        """Return a length-prefixed block; refuse one above limit bytes."""
        count = _LENGTH.unpack(await self.take(_LENGTH.size))[0]
        if count > limit:
            raise PeerError(f'a block of {count} bytes exceeds {limit}')
        return await self.take(count)


def prefixed(block: bytes) -> bytes:
    """Return the block with its length before it."""
    return _LENGTH.pack(len(block)) + block


@define
class FrameAuthenticator:
    """Compute the MACs of the frames of one direction, in order.

    Each MAC covers a counter, so that repeated, lost or reordered frames are
    rejected.
    """

    key: bytes
    counter: int = 0

    def next_mac(self, body: bytes) -> bytes:
        """Return the MAC of the next counter and the body."""
        number = _COUNTER.pack(self.counter)
        self.counter += 1
        return hmac.digest(self.key, number + body, 'sha256')


@define
class FrameReader:
    """Receive and authenticate the envelopes of a peer."""

    reader: ByteReader
    authenticator: FrameAuthenticator

    @property
    def last_received_at(self) -> float:
        """Return when bytes last arrived."""
        return self.reader.last_received_at

    def is_receiving(self, now: float) -> bool:
        """Return whether a part of a frame has arrived, and just now."""
        is_recent = now - self.last_received_at < STALL_SECONDS
        return bool(self.reader.buffer) and is_recent

    async def receive(self) -> Envelope:
        """Return the next envelope; raise EOFError at the end."""
        block = await self.reader.take_prefixed(MAX_FRAME_BYTES + MAC_BYTES)
        TRAFFIC.count_received(len(block) + _LENGTH.size)
        mac, body = block[:MAC_BYTES], block[MAC_BYTES:]
        if not hmac.compare_digest(mac, self.authenticator.next_mac(body)):
            raise PeerError('received a frame with a wrong MAC')
        return decode(Envelope, body)


@define
class FrameWriter:
    """Queue envelopes for one task that writes them in order.

    A sender that is cancelled leaves no part of a frame on the stream,
    because only the writing task touches it.
    """

    stream: trio.abc.SendStream
    authenticator: FrameAuthenticator
    bodies: deque[bytes] = field(factory=deque)
    queued_bytes: int = 0
    closed: bool = False
    frames_queued: trio.Event = field(factory=trio.Event)
    space_freed: trio.Event = field(factory=trio.Event)

    async def send(self, envelope: Envelope) -> None:
        """Queue an envelope; wait while too many bytes are queued.

        Raise PeerError if it is too large or the connection is closed.
        """
        body = encode(envelope)
        if len(body) > MAX_FRAME_BYTES:
            raise PeerError(
                f'a message of {len(body)} bytes exceeds {MAX_FRAME_BYTES}',
                sent=False,
            )
        while self.queued_bytes > MAX_QUEUED_BYTES and not self.closed:
            await self.space_freed.wait()
        if self.closed:
            raise PeerError('the connection is closed', sent=False)
        self.push(body)

    def push(self, body: bytes) -> None:
        """Queue an encoded envelope without waiting."""
        self.bodies.append(body)
        self.queued_bytes += len(body)
        self.frames_queued.set()

    async def run(self) -> None:
        """Write queued envelopes until cancelled or broken."""
        with ExitStack() as stack:
            stack.callback(self.close)
            while True:
                await self.frames_queued.wait()
                self.frames_queued = trio.Event()
                await self.flush()

    def close(self) -> None:
        """Reject further envelopes and wake the waiting senders."""
        self.closed = True
        self.space_freed.set()

    async def flush(self) -> None:
        """Write the queued envelopes, several frames at once."""
        while self.bodies:
            batch = bytearray()
            while self.bodies and len(batch) < MAX_QUEUED_BYTES:
                batch += self.next_frame()
            await self.stream.send_all(batch)
            if self.queued_bytes <= MAX_QUEUED_BYTES:
                self.space_freed.set()
                self.space_freed = trio.Event()

    def next_frame(self) -> bytes:
        """Return the first queued envelope as a frame."""
        body = self.bodies.popleft()
        self.queued_bytes -= len(body)
        frame = prefixed(self.authenticator.next_mac(body) + body)
        TRAFFIC.count_sent(len(frame))
        return frame
