"""Trouble the ways between processes, and the store."""

from contextlib import ExitStack

import trio
from attrs import define

from tests.soak.fault_log import STORE, recorded_fault
from tests.soak.links import Link, LinkFault
from tests.soak.plan import PlannedFault
from tests.soak.world import World

# Faults that are over when they have begun.
INSTANT_KINDS = frozenset(('reset', 'mute'))
# While the store loses answers it loses each of this many.
LOSE_EVERY = 3
REFUSED = 503


@define(eq=False)
class LinkFaults:
    """Bring faults of links about."""

    world: World

    async def inject(self, fault: PlannedFault) -> None:
        """Trouble one way, or all ways from a process."""
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
        """Trouble links for a while, or reset their connections."""
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
    """Trouble one link until the stack ends, or its connections at once."""
    if kind == 'reset':
        link.reset()
    elif kind == 'mute':
        link.stall_connections()
    else:
        stack.enter_context(link.faulty(link_fault_of(kind)))


def link_fault_of(kind: str) -> LinkFault:
    """Return what a kind of fault does to links."""
    if kind == 'store-slow':
        return LinkFault.delay
    if kind in {'isolate', 'store-silent'}:
        return LinkFault.block_both
    return LinkFault(kind)


@define(eq=False)
class StoreFaults:
    """Bring faults of the store about."""

    world: World
    links: LinkFaults

    async def inject(self, fault: PlannedFault) -> None:
        """Trouble the store for all processes."""
        if fault.kind in {'store-slow', 'store-silent'}:
            store_links = self.world.links.links_with_suffix(f'>{STORE}')
            await self.links.inject_into(fault, STORE, store_links)
            return
        with recorded_fault(self.world.faults, fault.kind, STORE):
            await self.inject_into_store(fault)

    async def inject_into_store(self, fault: PlannedFault) -> None:
        """Let the store refuse, lose answers or forget its history."""
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
