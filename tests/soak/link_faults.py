"""Trouble the ways between processes, and the store."""

from contextlib import ExitStack

import trio
from attrs import define

from tests.soak.interval_log import STORE, lasting
from tests.soak.links import Link, Trouble
from tests.soak.plan import Planned
from tests.soak.world import World

# Faults that are over when they have begun.
AT_ONCE = frozenset(('reset', 'mute'))
# While the store loses answers it loses each of this many.
LOSE_EACH = 3
REFUSED = 503


@define(eq=False)
class LinkFaults:
    """Bring faults of links about."""

    world: World

    async def bring_about(self, one: Planned) -> None:
        """Trouble one way, or all ways from a process."""
        links = self.world.links
        if one.kind == 'isolate':
            name = one.pick(sorted(self.world.processes))
            await self.trouble(one, name, links.starting(f'{name}>'))
        else:
            way = one.pick(links.ways())
            await self.trouble(one, way, links.named(way))

    async def trouble(
        self, one: Planned, subject: str, links: list[Link]
    ) -> None:
        """Trouble links for a while, or reset their connections."""
        subjects = {subject, *(link.name for link in links)}
        with ExitStack() as stack:
            for name in sorted(subjects):
                stack.enter_context(lasting(self.world.faults, one.kind, name))
            for link in links:
                trouble(one.kind, link, stack)
            if one.kind not in AT_ONCE:
                await trio.sleep(one.seconds)


def trouble(kind: str, link: Link, stack: ExitStack) -> None:
    """Trouble one link until the stack ends, or its connections at once."""
    if kind == 'reset':
        link.reset()
    elif kind == 'mute':
        link.mute()
    else:
        stack.enter_context(link.troubled(trouble_of(kind)))


def trouble_of(kind: str) -> Trouble:
    """Return what a kind of fault does to links."""
    if kind == 'store-slow':
        return Trouble.delayed
    if kind in {'isolate', 'store-silent'}:
        return Trouble.silent
    return Trouble(kind)


@define(eq=False)
class StoreFaults:
    """Bring faults of the store about."""

    world: World
    links: LinkFaults

    async def bring_about(self, one: Planned) -> None:
        """Trouble the store for all processes."""
        if one.kind in {'store-slow', 'store-silent'}:
            ways = self.world.links.ending(f'>{STORE}')
            await self.links.trouble(one, STORE, ways)
            return
        with lasting(self.world.faults, one.kind, STORE):
            await self.trouble_itself(one)

    async def trouble_itself(self, one: Planned) -> None:
        """Let the store refuse, lose answers or forget its history."""
        store = self.world.fleet.store
        if one.kind == 'store-forgets':
            store.forget_history()
            return
        if one.kind == 'store-refuses':
            store.refuse_with = REFUSED
        else:
            self.world.store.lose_each = LOSE_EACH
        await trio.sleep(one.seconds)
        store.refuse_with = 0
        self.world.store.lose_each = 0
