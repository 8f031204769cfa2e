"""Get the newest replica sets from the store or from peers."""

import logging
from collections.abc import Callable

import trio
from attrs import define, field

from jasminewheel._internal.events import configuration as events
from jasminewheel._internal.fleet.replica_sets import (
    PlacementLayout,
    first_placement,
)
from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.membership.member import HISTORY
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.replication.disks import find_disks
from jasminewheel._internal.replication.placement import (
    PLACEMENT_KEY,
    Placement,
    PlacementView,
)
from jasminewheel._internal.store.client import Store
from jasminewheel._internal.wire.gen.membership.ttypes import (
    PlacementDocument,
    PlacementRequest,
)
from jasminewheel.errors import JasminewheelError, StoreConflictError

REPLY_TIMEOUT_SECONDS = 5.0
JOIN_WAIT_SECONDS = 3.0
_LOGGER = logging.getLogger(__name__)


@define
class PlacementSpread:
    """Exchange the replica sets in force with peers."""

    view: PlacementView
    peer_client: PeerClient
    on_install: Callable[[], None] | None = None
    newer_epochs: dict[str, int] = field(factory=dict)
    wake: trio.Event = field(factory=trio.Event)

    def record_peer_epoch(self, address: str, epoch: int) -> None:
        """Record the epoch that a peer reported, if it is newer."""
        if epoch > self.view.epoch:
            self.newer_epochs[address] = epoch
            self.wake.set()

    async def run(self) -> None:
        """Fetch newer epochs until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            while self.newer_epochs:
                address, epoch = self.newer_epochs.popitem()
                if epoch > self.view.epoch:
                    await self.fetch(address)

    async def fetch(self, address: str) -> None:
        """Fetch a peer's replica sets and install them if they are newer."""
        try:
            answer = await self.peer_client.ask(
                address,
                PlacementRequest(),
                PlacementDocument,
                timeout_seconds=REPLY_TIMEOUT_SECONDS,
            )
            self.install(answer.text)
        except JasminewheelError as error:
            events.FETCH_FAILED.log(_LOGGER, peer=address, problem=error)

    def install(self, text: str) -> None:
        """Install replica sets if they are newer."""
        if text and self.view.install(Placement.from_json(text)):
            events.PLACEMENT_INSTALLED.log(_LOGGER, epoch=self.view.epoch)
            if self.on_install:
                self.on_install()

    async def on_placement(
        self,
        exchange: Exchange,
        request: PlacementRequest,
    ) -> PlacementDocument:
        """Return the replica sets in force to a peer."""
        placement = self.view.placement
        return PlacementDocument(text=placement.to_json() if placement else '')


@define
class PlacementController:
    """Read the replica sets from the store, and write the first ones."""

    store: Store
    membership: Membership
    spread: PlacementSpread
    layout: PlacementLayout

    async def read(self) -> None:
        """Install the stored replica sets; create them if there are none."""
        stored = await self.store.get(PLACEMENT_KEY)
        while stored is None:
            await self.create()
            stored = await self.store.get(PLACEMENT_KEY)
        self.spread.install(stored.value)

    async def create(self) -> None:
        """Write the first replica sets if enough history members are live."""
        # Wait so that history members that start together all get a share.
        await trio.sleep(JOIN_WAIT_SECONDS)
        members = self.membership.live(HISTORY)
        disks = await find_disks(self.spread.peer_client, members)
        names = {disk.member: disk.replica for disk in disks}
        histories = [member for member in members if member.member in names]
        placement = first_placement(histories, names, self.layout)
        if placement is None:
            events.PLACEMENT_WAITS.log(
                _LOGGER,
                live=len(histories),
                wanted=self.layout.replicas,
            )
            return
        try:
            await self.store.put(PLACEMENT_KEY, placement.to_json(), 0)
        except StoreConflictError:
            return
        events.PLACEMENT_CREATED.log(_LOGGER, sets=len(placement.current))
