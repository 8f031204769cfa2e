"""Keep prompt prefixes of paused programs in engines, never for long."""

import logging
from collections.abc import Callable, Collection
from typing import Protocol

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import targets as events
from jasminewheel._internal.targets.certainty import LeaseCertainty
from jasminewheel.errors import CallError, FencedError

# An engine frees a pin that its owner has not renewed for so long.
PIN_TTL_SECONDS = 15.0
RENEW_SECONDS = 5.0
# The longest that an engine takes to carry out a pin.
PIN_ORDER_SECONDS = 2.0
_LOGGER = logging.getLogger(__name__)


class PinClient(Protocol):
    """Pin prefixes at one engine."""

    async def pin(self, block: str, expires_seconds: float, fence: int) -> None:
        """Keep a prefix, or renew its pin."""

    async def unpin(self, block: str) -> None:
        """End a pin."""


class PinClients(Protocol):
    """Give clients of engines by address."""

    def engine(self, url: str) -> PinClient:
        """Return the client of an engine."""


@frozen
class PinnedPrefix:
    """Name a prefix at an engine, under the fence of the program's slot."""

    url: str
    block: str
    fence: int
    is_fenced: bool


@frozen
class _Hold:
    prefix: PinnedPrefix
    until: float


@define(eq=False)
class PinKeeper:
    """Renew the pins of programs owned here; each engine frees the others.

    A pin that is not renewed lapses at its engine, so the death of an owner,
    a lost answer or an engine out of reach holds memory for the time to live
    at the most.
    """

    clients: PinClients
    certainty: LeaseCertainty
    clock: Callable[[], float] = trio.current_time
    holds: dict[str, _Hold] = field(factory=dict)

    async def hold(
        self, program_id: str, prefix: PinnedPrefix, seconds: float
    ) -> bool:
        """Pin the prefix in place of the program's last one, if any."""
        previous = self.holds.get(program_id)
        self.holds[program_id] = _Hold(prefix, self.clock() + seconds)
        is_held = await self.renew(program_id)
        if previous and previous.prefix.block != prefix.block:
            await self.unpin(previous.prefix)
        return is_held

    async def release(self, program_id: str) -> None:
        """End the pin of a program that has ended or goes on."""
        hold = self.holds.pop(program_id, None)
        if hold:
            await self.unpin(hold.prefix)

    def forget(self, program_ids: Collection[str]) -> None:
        """Stop renewing for programs whose slot is owned elsewhere now.

        The new owner may hold the same prefix, so it is not unpinned here.
        """
        for program_id in program_ids:
            self.holds.pop(program_id, None)

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            await trio.sleep(RENEW_SECONDS)
            await self.renew_all()

    async def renew_all(self) -> None:
        """Renew all pins; release those held for long enough."""
        now = self.clock()
        async with trio.open_nursery() as nursery:
            for program_id, hold in list(self.holds.items()):
                renew = self.renew if now < hold.until else self.release
                nursery.start_soon(renew, program_id)

    async def renew(self, program_id: str) -> bool:
        """Renew one pin; forget it if the engine does not hold it."""
        hold = self.holds[program_id]
        if not self.may_order(hold.prefix):
            return False
        engine = self.clients.engine(hold.prefix.url)
        try:
            await engine.pin(
                hold.prefix.block, PIN_TTL_SECONDS, hold.prefix.fence
            )
        except (CallError, FencedError) as error:
            events.PIN_LOST.log(_LOGGER, program=program_id, problem=error)
            if self.holds.get(program_id) is hold:
                self.holds.pop(program_id)
            return False
        return True

    async def unpin(self, prefix: PinnedPrefix) -> None:
        """End a pin unless another program here holds it too."""
        is_shared = any(
            (hold.prefix.url, hold.prefix.block) == (prefix.url, prefix.block)
            for hold in self.holds.values()
        )
        if is_shared or not self.may_order(prefix):
            return
        try:
            await self.clients.engine(prefix.url).unpin(prefix.block)
        except CallError as error:
            events.PIN_LEFT.log(_LOGGER, block=prefix.block, problem=error)

    def may_order(self, prefix: PinnedPrefix) -> bool:
        """Tell whether the engine may be ordered; it may ignore fences."""
        is_certain = self.certainty.covers(self.clock(), PIN_ORDER_SECONDS)
        return prefix.is_fenced or is_certain
