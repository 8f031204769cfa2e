"""Relay connections between peers, so that tests can cut or delay a link."""

import socket
import struct
import threading
import time
from contextlib import ExitStack, suppress

from attrs import define, field

from jasminewheel._internal.wire.codec import decode
from jasminewheel._internal.wire.gen.frame.ttypes import Hello

LENGTH = struct.Struct('>I')
CHUNK_BYTES = 65536
POLL_SECONDS = 0.01
ANY = '*'


@define(eq=False)
class Links:
    """Control delays and cuts of the links between members.

    A cut link holds bytes back, as a network does while it loses packets; they
    arrive late once the link heals, unless the connection was closed.
    """

    cuts: set = field(factory=set)
    delay_seconds: dict = field(factory=dict)
    sent_bytes: dict = field(factory=dict)

    def cut(self, source, target, *, both=True):
        """Cut the link from source to target, and by default both ways."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def cut_between(self, some, others):
        """Cut all links between two groups of members."""
        for one in some:
            for other in others:
                self.cut(one, other)

    def slow(self, seconds):
        """Delay all bytes between any two members."""
        self.delay_seconds[ANY] = seconds

    def heal(self):
        """Remove all cuts and delays."""
        self.cuts.clear()
        self.delay_seconds.clear()

    def wait_for(self, source, target):
        """Wait until the link lets bytes through."""
        time.sleep(self.delay_seconds.get(ANY, 0))
        while (source, target) in self.cuts:
            time.sleep(POLL_SECONDS)

    def count(self, source, target, size):
        """Count bytes that were passed on."""
        key = (source, target)
        self.sent_bytes[key] = self.sent_bytes.get(key, 0) + size


@define(eq=False)
class Relay:
    """Accept connections for one member and pass their bytes on."""

    links: Links
    member: str
    listener: socket.socket
    target_port: int = 0
    is_closed: bool = False

    @classmethod
    def open(cls, links, member):
        """Listen on a free port."""
        listener = socket.create_server(('127.0.0.1', 0))
        relay = cls(links, member, listener)
        threading.Thread(target=relay.accept, daemon=True).start()
        return relay

    @property
    def address(self):
        """Return the address that peers use for the member."""
        port = self.listener.getsockname()[1]
        return f'127.0.0.1:{port}'

    def accept(self):
        """Serve each connection in threads of its own."""
        while not self.is_closed:
            with suppress(OSError):
                client, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=(client,), daemon=True
                ).start()

    def serve(self, client):
        """Read the dialler's name, then copy bytes until either side ends."""
        with ExitStack() as stack:
            stack.enter_context(suppress(OSError, EOFError))
            stack.enter_context(client)
            first = read_block(client)
            source = decode(Hello, first[LENGTH.size :]).member
            self.links.wait_for(source, self.member)
            target = stack.enter_context(
                socket.create_connection(('127.0.0.1', self.target_port))
            )
            target.sendall(first)
            back = threading.Thread(
                target=self.pump,
                args=(target, client, self.member, source),
                daemon=True,
            )
            back.start()
            self.pump(client, target, source, self.member)
            back.join()

    def pump(self, incoming, outgoing, source, target):
        """Copy the bytes of one direction; wait while its link is cut."""
        with suppress(OSError):
            while True:
                chunk = incoming.recv(CHUNK_BYTES)
                self.links.wait_for(source, target)
                if not chunk:
                    break
                outgoing.sendall(chunk)
                self.links.count(source, target, len(chunk))
        for end in (incoming, outgoing):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Accept no more connections."""
        self.is_closed = True
        self.listener.close()


@define(eq=False)
class Relays:
    """Manage a relay for each member, if links are relayed at all."""

    links: Links | None = None
    relays: dict = field(factory=dict)

    def address_of(self, name):
        """Return the address of a member's relay; empty for none."""
        if self.links is None:
            return ''
        if name not in self.relays:
            self.relays[name] = Relay.open(self.links, name)
        return self.relays[name].address

    def set_target_port(self, name, port):
        """Set the port to which a member's relay connects."""
        relay = self.relays.get(name)
        if relay:
            relay.target_port = port

    def heal(self):
        """Remove all cuts and delays, if links are relayed at all."""
        if self.links is not None:
            self.links.heal()

    def close(self):
        """Close all relays."""
        for relay in self.relays.values():
            relay.close()


def read_block(connection):
    """Return a length-prefixed block with its prefix."""
    prefix = read_exactly(connection, LENGTH.size)
    return prefix + read_exactly(connection, LENGTH.unpack(prefix)[0])


def read_exactly(connection, count):
    """Return that many bytes; raise EOFError at the end."""
    taken = b''
    while len(taken) < count:
        chunk = connection.recv(count - len(taken))
        if not chunk:
            raise EOFError
        taken += chunk
    return taken
