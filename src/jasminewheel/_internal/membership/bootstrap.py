"""Discover peers from the settings, the list of VMs and the store."""

import logging
from collections.abc import Iterable

import trio
from attrs import define, field

from jasminewheel._internal.events import membership as events
from jasminewheel._internal.membership.heartbeats import Heartbeats
from jasminewheel._internal.membership.chosen import is_chosen
from jasminewheel._internal.membership.lease import (
    MEMBER_PREFIX,
    parse_member,
)
from jasminewheel._internal.membership.vm_list import VmList
from jasminewheel._internal.parallel import map_parallel
from jasminewheel._internal.store.client import Store
from jasminewheel.errors import JasminewheelError

MAX_PARALLEL_PROBES = 8
ENOUGH_PEERS = 5
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 15.0
_LOGGER = logging.getLogger(__name__)


@define
class Bootstrap:
    """Probe peers until some of them have sent their table of members."""

    heartbeats: Heartbeats
    addresses: tuple[str, ...]
    store: Store | None = None
    vms: VmList | None = None
    reached: set[str] = field(factory=set)

    async def run(self) -> None:
        """Search for peers while there are none; later probe leaseholders.

        A few chosen members read the leases periodically, so that partitions
        of the fleet without any common member merge.
        """
        pause = MIN_RETRY_SECONDS
        while True:
            await trio.sleep(pause * self.heartbeats.random.uniform(1, 2))
            if self.is_alone():
                await self.find_peers()
                pause = min(2 * pause, MAX_RETRY_SECONDS)
                continue
            pause = MAX_RETRY_SECONDS
            if is_chosen(self.heartbeats.membership, MEMBER_PREFIX):
                await self.probe_unknown_members()

    def is_alone(self) -> bool:
        """Return whether no other member is known to be live."""
        return len(self.heartbeats.membership.live()) == 1

    async def probe_unknown_members(self) -> None:
        """Probe the members that hold leases but are not known to be live."""
        live = self.heartbeats.membership.live()
        known = {member.peer_address for member in live}
        unknown_addresses = set(await self.lease_addresses()) - known
        await map_parallel(self.probe, unknown_addresses, MAX_PARALLEL_PROBES)

    async def find_peers(self) -> bool:
        """Probe the settings' addresses, then listed VMs, then leaseholders.

        Stop once ENOUGH_PEERS answered; return whether any did.
        """
        self.reached.clear()
        await self.probe_some(self.addresses)
        if len(self.reached) < ENOUGH_PEERS:
            await self.probe_some(await self.vm_list_addresses())
        if len(self.reached) < ENOUGH_PEERS:
            await self.probe_some(await self.lease_addresses())
        return bool(self.reached)

    async def probe_some(self, addresses: Iterable[str]) -> None:
        """Probe random unreached addresses, at most twice those needed."""
        own = self.heartbeats.membership.local_member.peer_address
        left = [one for one in addresses if one not in {own, *self.reached}]
        wanted = max(0, ENOUGH_PEERS - len(self.reached))
        self.heartbeats.random.shuffle(left)
        await map_parallel(self.probe, left[: 2 * wanted], MAX_PARALLEL_PROBES)

    async def probe(self, address: str) -> None:
        """Exchange heartbeats with one address; record it if it answers."""
        try:
            await self.heartbeats.exchange_with(f'at {address}', address)
        except JasminewheelError as error:
            _LOGGER.debug('no answer from %s: %s', address, error)
            return
        self.reached.add(address)

    async def vm_list_addresses(self) -> list[str]:
        """Return addresses from the platform's list of VMs."""
        if self.vms is None:
            return []
        try:
            rows = await self.vms.rows()
        except JasminewheelError as error:
            events.HINT_FAILED.log(_LOGGER, problem=error)
            return []
        return [row.address for row in rows if row.address]

    async def lease_addresses(self) -> list[str]:
        """Return addresses of the members that hold leases."""
        if self.store is None:
            return []
        try:
            listing = await self.store.list(MEMBER_PREFIX)
        except JasminewheelError as error:
            events.HINT_FAILED.log(_LOGGER, problem=error)
            return []
        return [parse_member(item.value).peer_address for item in listing.items]
