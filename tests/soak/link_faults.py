"""Inject faults into the links between processes, and into the store."""

from contextlib import ExitStack

import trio
from attrs import define

from tests.soak.fault_log import STORE, recorded_fault
from tests.soak.links import Link, LinkFault
from tests.soak.plan import PlannedFault
from tests.soak.world import World

# Kinds of faults without a duration.
INSTANT_KINDS = frozenset(('reset', 'mute'))
# While the store loses answers, one in this many is lost.
LOSE_EVERY = 3
REFUSED = 503


@define(eq=False)
class LinkFaults:
    """Inject faults into links."""

    world: World

    async def inject(self, fault: PlannedFault) -> None:
        """Inject a fault into one link, or all links from a process."""
        links = self.world.links
        if fault.kind == 'isolate':
            name = fault.pick(sorted(self.world.processes))
            await self.inject_into(
                fault, name, links.links_with_prefix(f'{name}>')
            )
        else:
            link_name = fault.pick(links.link_names())
            await self.inject_into(
                fault, link_name, links.links_named(link_name)
            )

    async def inject_into(
        self, fault: PlannedFault, subject: str, links: list[Link]
    ) -> None:
        """Inject a fault into links for its duration, if it has one."""
        subjects = {subject, *(link.name for link in links)}
        with ExitStack() as stack:
            for name in sorted(subjects):
                stack.enter_context(
                    recorded_fault(self.world.faults, fault.kind, name)
                )
            for link in links:
                inject_link_fault(fault.kind, link, stack)
            if fault.kind not in INSTANT_KINDS:
                await trio.sleep(fault.duration_seconds)


def inject_link_fault(kind: str, link: Link, stack: ExitStack) -> None:
    """Inject a fault into one link until the stack closes, or at once."""
    if kind == 'reset':
        link.reset()
    elif kind == 'mute':
        link.stall_connections()
    else:
        stack.enter_context(link.faulty(link_fault_of(kind)))


def link_fault_of(kind: str) -> LinkFault:
    """Return the link fault of a kind of fault."""
    if kind == 'store-slow':
        return LinkFault.delay
    if kind in {'isolate', 'store-silent'}:
        return LinkFault.block_both
    return LinkFault(kind)


@define(eq=False)
class StoreFaults:
    """Inject faults into the store."""

    world: World
    links: LinkFaults

    async def inject(self, fault: PlannedFault) -> None:
        """Inject a fault into the store, or into all links to it."""
        if fault.kind in {'store-slow', 'store-silent'}:
            store_links = self.world.links.links_with_suffix(f'>{STORE}')
            await self.links.inject_into(fault, STORE, store_links)
            return
        with recorded_fault(self.world.faults, fault.kind, STORE):
            await self.inject_into_store(fault)

    async def inject_into_store(self, fault: PlannedFault) -> None:
        """Let the store refuse calls, lose answers or drop its history."""
        store = self.world.fleet.store
        if fault.kind == 'store-forgets':
            store.forget_history()
            return
        if fault.kind == 'store-refuses':
            store.refuse_with = REFUSED
        else:
            self.world.store.lose_every = LOSE_EVERY
        await trio.sleep(fault.duration_seconds)
        store.refuse_with = 0
        self.world.store.lose_every = 0
