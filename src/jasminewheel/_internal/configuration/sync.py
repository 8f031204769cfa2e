"""Fetch newer configurations from peers and serve the local one to them."""

import logging
from collections.abc import Callable
from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.part import Part, unpack_part
from jasminewheel._internal.configuration.root import Root, read_root
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.events import configuration as events
from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.parallel import map_parallel
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.wire.gen.membership.ttypes import (
    PartDocument,
    PartRequest,
    RootDocument,
    RootRequest,
)
from jasminewheel.errors import ConfigurationError, JasminewheelError

REPLY_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.02
PARALLEL = 4
_LOGGER = logging.getLogger(__name__)


@define
class ConfigurationSync:
    """Synchronise the configuration in force with peers.

    Heartbeats carry the versions in force. A process that receives a newer
    version fetches the root and its missing parts from that peer.
    """

    view: ConfigurationView
    peer_client: PeerClient
    current: Configuration = field(factory=Configuration)
    on_install: Callable[[], None] | None = None
    reported_versions: dict[str, int] = field(factory=dict)
    wake: trio.Event = field(factory=trio.Event)
    random: Random = field(factory=Random)
    fetching: bool = False

    def record_peer_version(self, address: str, version: int) -> None:
        """Record the version that a peer reported if it is newer."""
        if version > self.current.version:
            self.reported_versions[address] = version
            self.wake.set()

    async def run(self) -> None:
        """Fetch newer versions until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            self.fetching = True
            while self.reported_versions:
                await self.fetch_newest()
            self.fetching = False

    async def wait_until_current(self) -> None:
        """Wait up to REPLY_TIMEOUT_SECONDS while a newer version is known."""
        with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
            while self.is_behind():
                await trio.sleep(POLL_SECONDS)

    def is_behind(self) -> bool:
        """Return whether a reported version is not in force here yet."""
        newest = max(self.reported_versions.values(), default=0)
        return self.fetching or newest > self.current.version

    async def fetch_newest(self) -> None:
        """Fetch the newest reported version from a random peer that has it."""
        newest = max(self.reported_versions.values())
        holders = [
            one
            for one in self.reported_versions
            if self.reported_versions[one] == newest
        ]
        address = self.random.choice(holders)
        self.reported_versions.pop(address)
        if newest <= self.current.version:
            self.reported_versions.clear()
            return
        try:
            await self.fetch(address)
        except JasminewheelError as error:
            events.FETCH_FAILED.log(_LOGGER, peer=address, problem=error)

    async def fetch(self, address: str) -> bool:
        """Fetch a peer's version and install it if it is newer.

        Return whether it was installed.
        """
        answer = await self.peer_client.ask(
            address,
            RootRequest(),
            RootDocument,
            timeout_seconds=REPLY_TIMEOUT_SECONDS,
        )
        root = read_root(answer.text) if answer.text else Root()
        if root.version <= self.current.version:
            return False
        found = await self.assemble(root, address)
        return await self.put_in_force(found)

    async def assemble(self, root: Root, address: str) -> Configuration:
        """Return the configuration of a root; fetch missing parts."""
        parts_by_digest = {
            part.digest: part for part in self.current.parts.values()
        }
        missing = [
            PartAtPeer(name, digest, address, self.peer_client)
            for name, digest in root.parts.items()
            if digest not in parts_by_digest
        ]
        for part in await map_parallel(PartAtPeer.fetch, missing, PARALLEL):
            parts_by_digest[part.digest] = part
        return Configuration(
            root,
            {one: parts_by_digest[root.parts[one]] for one in root.parts},
        )

    async def put_in_force(self, configuration: Configuration) -> bool:
        """Decode new parts, yielding to other tasks in between, and install."""
        added = list(configuration.changed_parts(self.current))
        while added:
            added.pop().decode()
            await trio.lowlevel.checkpoint()
        return self.install(configuration)

    def install(self, configuration: Configuration) -> bool:
        """Install the configuration if it is newer; return whether it was."""
        version = configuration.version
        if version < self.current.version:
            events.OLDER_REFUSED.log(
                _LOGGER,
                version=version,
                in_force=self.current.version,
            )
        if not self.view.install(configuration.snapshot()):
            return False
        self.current = configuration
        events.INSTALLED.log(_LOGGER, version=version)
        if self.on_install:
            self.on_install()
        return True

    async def on_root(
        self,
        exchange: Exchange,
        request: RootRequest,
    ) -> RootDocument:
        """Return the root in force to a peer."""
        root = self.current.root
        return RootDocument(text=root.text() if root.version else '')

    async def on_part(
        self,
        exchange: Exchange,
        request: PartRequest,
    ) -> PartDocument:
        """Return one part in force to a peer."""
        for part in self.current.parts.values():
            if part.digest == request.digest:
                return PartDocument(name=part.name, packed=part.packed)
        raise ConfigurationError(
            f'part {request.digest} is not in the version in force'
        )


@define
class PartAtPeer:
    """Represent a part that a peer has."""

    name: str
    digest: str
    address: str
    peer_client: PeerClient

    async def fetch(self) -> Part:
        """Fetch the part from the peer."""
        answer = await self.peer_client.ask(
            self.address,
            PartRequest(digest=self.digest),
            PartDocument,
            timeout_seconds=REPLY_TIMEOUT_SECONDS,
        )
        return unpack_part(self.name, answer.packed, self.digest)
