"""Loopback proxies between processes; each way has a proxy of its own."""

import re
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from enum import Enum
from functools import partial

import trio
from attrs import define, field

from jasminewheel._internal.address import split_address
from jasminewheel._internal.peer.sockets import BROKEN_STREAM_ERRORS
from tests.free_port import HOST

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.4
# Closing resets the connection.
LINGER_NOT = struct.pack('ii', 1, 0)
ADDRESS = re.compile(r'\d+\.\d+\.\d+\.\d+:\d+')


class Trouble(Enum):
    """Name what a link does to bytes."""

    delayed = 'delayed'
    # What the one who connects sends is held back, or what it is sent.
    cut_out = 'cut-out'
    cut_back = 'cut-back'
    silent = 'silent'


HELD_OUT = frozenset((Trouble.cut_out, Trouble.silent))
HELD_BACK = frozenset((Trouble.cut_back, Trouble.silent))


@define(eq=False)
class Link:
    """Hold the proxy from one process to an address."""

    name: str
    address: str
    listener: socket.socket
    # Troubles overlap; the newest is in force.
    troubles: list[Trouble] = field(factory=list)
    changed: trio.Event = field(factory=trio.Event)
    connections: set['Relayed'] = field(factory=set)

    @contextmanager
    def troubled(self, trouble: Trouble) -> Iterator[None]:
        """Trouble the link; what was held back goes on afterwards."""
        self.troubles.append(trouble)
        try:
            yield
        finally:
            self.heal(trouble)

    def heal(self, trouble: Trouble) -> None:
        """End a trouble."""
        self.troubles.remove(trouble)
        self.changed.set()
        self.changed = trio.Event()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in self.connections:
            connection.scope.cancel()

    def mute(self) -> None:
        """Let the open connections carry nothing from now on."""
        for connection in self.connections:
            connection.muted = True

    async def serve(self) -> None:
        """Accept until cancelled."""
        listening = trio.SocketListener(
            trio.socket.from_stdlib_socket(self.listener)
        )
        await trio.serve_listeners(self.relay, [listening])

    async def relay(self, near: trio.SocketStream) -> None:
        """Pass one connection on until either side ends."""
        connection = Relayed(self, near)
        self.connections.add(connection)
        try:
            await connection.run()
        except* BROKEN_STREAM_ERRORS:
            connection.reset_on_close()
        finally:
            self.connections.discard(connection)

    async def pass_through(self, held: frozenset[Trouble]) -> None:
        """Wait until bytes may go on."""
        if self.troubles and self.troubles[-1] is Trouble.delayed:
            await trio.sleep(DELAY_SECONDS)
        while self.troubles and self.troubles[-1] in held:
            await self.changed.wait()


@define(eq=False)
class Relayed:
    """Hold one connection over a link."""

    link: Link
    near: trio.SocketStream
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    muted: bool = False

    async def run(self) -> None:
        """Relay until either side ends or the connection is reset."""
        with self.scope:
            await self.relay()
        if self.scope.cancelled_caught:
            self.reset_on_close()

    async def relay(self) -> None:
        """Connect to the target, and pump both ways."""
        await self.link.pass_through(HELD_OUT)
        far = await trio.open_tcp_stream(*split_address(self.link.address))
        with far.socket:
            async with trio.open_nursery() as nursery:
                end = nursery.cancel_scope.cancel
                nursery.start_soon(self.pump, self.near, far, HELD_OUT, end)
                nursery.start_soon(self.pump, far, self.near, HELD_BACK, end)

    async def pump(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        held: frozenset[Trouble],
        end: Callable[[], None],
    ) -> None:
        """Copy one direction until it ends."""
        chunk = await source.receive_some(CHUNK_BYTES)
        while chunk:
            await self.pass_on(chunk, target, held)
            chunk = await source.receive_some(CHUNK_BYTES)
        await self.pass_on(chunk, target, held)
        end()

    async def pass_on(
        self,
        chunk: bytes,
        target: trio.SocketStream,
        held: frozenset[Trouble],
    ) -> None:
        """Send bytes on, late or never."""
        await self.link.pass_through(held)
        if self.muted:
            await trio.sleep_forever()
        await target.send_all(chunk)

    def reset_on_close(self) -> None:
        """Let the other end see a reset."""
        with suppress(OSError):
            self.near.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT
            )


@define(eq=False)
class Links:
    """Hold the links, and show each process addresses of its own."""

    nursery: trio.Nursery
    names: dict[str, str] = field(factory=dict)
    links: dict[tuple[str, str], Link] = field(factory=dict)
    real: dict[str, str] = field(factory=dict)

    def add(self, name: str, address: str) -> None:
        """Know the real address of a target."""
        self.names[address] = name

    def way(self, source: str, address: str) -> str:
        """Return where a process reaches the target of an address."""
        target = self.names.get(address, source)
        if target == source:
            return address
        key = (source, address)
        if key not in self.links:
            self.open(key, f'{source}>{target}')
        port = self.links[key].listener.getsockname()[1]
        return f'{HOST}:{port}'

    def open(self, key: tuple[str, str], name: str) -> None:
        """Listen for one way."""
        address = key[1]
        listener = socket.create_server((HOST, 0), backlog=128)
        link = Link(name, address, listener)
        self.links[key] = link
        port = listener.getsockname()[1]
        self.real[f'{HOST}:{port}'] = address
        self.nursery.start_soon(link.serve)

    def named(self, name: str) -> list[Link]:
        """Return the links of a way."""
        return [link for link in self.links.values() if link.name == name]

    def starting(self, prefix: str) -> list[Link]:
        """Return the links whose names begin so."""
        return [
            link for link in self.links.values() if link.name.startswith(prefix)
        ]

    def ending(self, suffix: str) -> list[Link]:
        """Return the links whose names end so."""
        return [
            link for link in self.links.values() if link.name.endswith(suffix)
        ]

    def ways(self) -> list[str]:
        """Return the names of all ways so far."""
        return sorted({link.name for link in self.links.values()})

    def shown(self, source: str, text: str) -> str:
        """Return a text with the addresses that a process is to use."""
        return ADDRESS.sub(partial(self._shown, source), text)

    def told(self, text: str) -> str:
        """Return a text of a process with the real addresses."""
        return ADDRESS.sub(lambda found: self._told(found[0]), text)

    def _shown(self, source: str, found: re.Match) -> str:
        return self.way(source, found[0])

    def _told(self, address: str) -> str:
        return self.real.get(address, address)
