"""Loopback proxies between processes, one for each source and address."""

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
# With this linger setting, closing a socket resets the connection.
LINGER_RESET = struct.pack('ii', 1, 0)
ADDRESS = re.compile(r'\d+\.\d+\.\d+\.\d+:\d+')


class LinkFault(Enum):
    """Name what a link does to bytes in transit."""

    delay = 'delayed'
    # Outbound is the direction from the connecting process to the target.
    block_outbound = 'cut-out'
    block_inbound = 'cut-back'
    block_both = 'silent'


OUTBOUND_BLOCKS = frozenset((LinkFault.block_outbound, LinkFault.block_both))
INBOUND_BLOCKS = frozenset((LinkFault.block_inbound, LinkFault.block_both))


@define(eq=False)
class Link:
    """Represent the proxy from one process to an address."""

    name: str
    address: str
    listener: socket.socket
    # Faults may overlap; the newest applies.
    faults: list[LinkFault] = field(factory=list)
    faults_changed: trio.Event = field(factory=trio.Event)
    connections: set['ProxiedConnection'] = field(factory=set)

    @contextmanager
    def faulty(self, fault: LinkFault) -> Iterator[None]:
        """Apply a fault in the block; delayed bytes are sent afterwards."""
        self.faults.append(fault)
        try:
            yield
        finally:
            self.clear_fault(fault)

    def clear_fault(self, fault: LinkFault) -> None:
        """End a fault."""
        self.faults.remove(fault)
        self.faults_changed.set()
        self.faults_changed = trio.Event()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in self.connections:
            connection.scope.cancel()

    def stall_connections(self) -> None:
        """Stop forwarding on the open connections for good."""
        for connection in self.connections:
            connection.stalled = True

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        listening = trio.SocketListener(
            trio.socket.from_stdlib_socket(self.listener)
        )
        await trio.serve_listeners(self.relay, [listening])

    async def relay(self, downstream: trio.SocketStream) -> None:
        """Relay one connection until either side closes."""
        connection = ProxiedConnection(self, downstream)
        self.connections.add(connection)
        try:
            await connection.run()
        except* BROKEN_STREAM_ERRORS:
            connection.reset_on_close()
        finally:
            self.connections.discard(connection)

    async def apply_fault(self, blocking: frozenset[LinkFault]) -> None:
        """Delay bytes, or wait until the link is not blocked."""
        if self.faults and self.faults[-1] is LinkFault.delay:
            await trio.sleep(DELAY_SECONDS)
        while self.faults and self.faults[-1] in blocking:
            await self.faults_changed.wait()


@define(eq=False)
class ProxiedConnection:
    """Represent one connection over a link."""

    link: Link
    downstream: trio.SocketStream
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    stalled: bool = False

    async def run(self) -> None:
        """Relay until either side closes or the connection is reset."""
        with self.scope:
            await self.relay()
        if self.scope.cancelled_caught:
            self.reset_on_close()

    async def relay(self) -> None:
        """Connect to the target, and copy both directions."""
        await self.link.apply_fault(OUTBOUND_BLOCKS)
        upstream = await trio.open_tcp_stream(*split_address(self.link.address))
        with upstream.socket:
            async with trio.open_nursery() as nursery:
                end = nursery.cancel_scope.cancel
                nursery.start_soon(
                    self.copy, self.downstream, upstream, OUTBOUND_BLOCKS, end
                )
                nursery.start_soon(
                    self.copy, upstream, self.downstream, INBOUND_BLOCKS, end
                )

    async def copy(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        blocking: frozenset[LinkFault],
        end: Callable[[], None],
    ) -> None:
        """Copy one direction until its end of stream."""
        chunk = await source.receive_some(CHUNK_BYTES)
        while chunk:
            await self.forward(chunk, target, blocking)
            chunk = await source.receive_some(CHUNK_BYTES)
        await self.forward(chunk, target, blocking)
        end()

    async def forward(
        self,
        chunk: bytes,
        target: trio.SocketStream,
        blocking: frozenset[LinkFault],
    ) -> None:
        """Forward bytes under the fault that applies."""
        await self.link.apply_fault(blocking)
        if self.stalled:
            await trio.sleep_forever()
        await target.send_all(chunk)

    def reset_on_close(self) -> None:
        """Send a reset to the connecting process on close."""
        with suppress(OSError):
            self.downstream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )


@define(eq=False)
class Links:
    """Manage the links, and translate addresses for each process."""

    nursery: trio.Nursery
    target_names: dict[str, str] = field(factory=dict)
    links: dict[tuple[str, str], Link] = field(factory=dict)
    real_addresses: dict[str, str] = field(factory=dict)

    def add_target(self, name: str, address: str) -> None:
        """Register the real address of a target."""
        self.target_names[address] = name

    def proxied_address(self, source: str, address: str) -> str:
        """Return the address by which a process reaches a target."""
        target = self.target_names.get(address, source)
        if target == source:
            return address
        key = (source, address)
        if key not in self.links:
            self.open_link(key, f'{source}>{target}')
        port = self.links[key].listener.getsockname()[1]
        return f'{HOST}:{port}'

    def open_link(self, key: tuple[str, str], name: str) -> None:
        """Open the proxy of one link."""
        address = key[1]
        listener = socket.create_server((HOST, 0), backlog=128)
        link = Link(name, address, listener)
        self.links[key] = link
        port = listener.getsockname()[1]
        self.real_addresses[f'{HOST}:{port}'] = address
        self.nursery.start_soon(link.serve)

    def links_named(self, name: str) -> list[Link]:
        """Return the links with this name, one for each address."""
        return [link for link in self.links.values() if link.name == name]

    def links_with_prefix(self, prefix: str) -> list[Link]:
        """Return the links whose names start with the prefix."""
        return [
            link for link in self.links.values() if link.name.startswith(prefix)
        ]

    def links_with_suffix(self, suffix: str) -> list[Link]:
        """Return the links whose names end with the suffix."""
        return [
            link for link in self.links.values() if link.name.endswith(suffix)
        ]

    def link_names(self) -> list[str]:
        """Return the sorted names of all links so far."""
        return sorted({link.name for link in self.links.values()})

    def with_proxied_addresses(self, source: str, text: str) -> str:
        """Replace real addresses by the proxied ones of a process."""
        return ADDRESS.sub(partial(self._proxied_address, source), text)

    def with_real_addresses(self, text: str) -> str:
        """Replace proxied addresses by the real ones."""
        return ADDRESS.sub(lambda found: self._real_address(found[0]), text)

    def _proxied_address(self, source: str, found: re.Match) -> str:
        return self.proxied_address(source, found[0])

    def _real_address(self, address: str) -> str:
        return self.real_addresses.get(address, address)
