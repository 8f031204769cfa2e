"""Pin prefixes of paused programs in engines, and release them."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import scheduling as events
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.explanations import (
    ExplanationLog,
    Explanation,
)
from jasminewheel._internal.scheduling.pause import (
    MAX_HOLD_SECONDS,
    PauseDecision,
    PauseLearner,
    PauseSituation,
    Retention,
    decide_retention,
)
from jasminewheel._internal.scheduling.prefixes import CacheState
from jasminewheel._internal.scheduling.queue import TOP_PRIORITY
from jasminewheel.errors import JasminewheelError

LOGGER = logging.getLogger(__name__)
MAX_QUEUED_ORDERS = 1000
ORDER_TIMEOUT_SECONDS = 1
MAX_PROGRAMS = 20_000
# Share of one engine's cache that all programs of this entry may pin together.
MAX_PINNED_SHARE = 0.15
# Pins of different owners are not fenced: they expire on their own, and a lost
# pin only costs a recompute.
PIN_FENCE = 1
# An engine frees a pin that its owner has not renewed within this time, so that
# a failed owner does not hold memory for longer.
PIN_TTL_SECONDS = 15
RENEW_INTERVAL_SECONDS = 5
DROP_PREFIX = PauseDecision(Retention.drop, 0, 0, 0, 0)


class PinningEngine(Protocol):
    """Pin and unpin prefixes in an engine's cache."""

    async def pin(self, block: str, expires_seconds: float, fence: int) -> None:
        """Pin the prefix that ends in block."""

    async def unpin(self, block: str) -> None:
        """Release the pin that ends in block."""


class EngineClients(Protocol):
    """Provide clients of engines by URL."""

    def engine(self, url: str) -> PinningEngine:
        """Return the client of an engine."""


@frozen
class Pin:
    """Represent a pinned prefix; `expires_at` is Unix time in seconds."""

    url: str
    block: str
    tokens: int
    expires_at: float


@frozen
class PinOrder:
    """Represent an order to pin a prefix, or to unpin it at 0 seconds."""

    pin: Pin
    hold_seconds: float


@define(eq=False)
class PausedProgram:
    """Represent a program between two model calls."""

    finished_at: float
    tool: str
    pin: Pin | None = None


@define(eq=False)
class RetentionController:
    """Decide which prefixes of paused programs to pin, and order the pins."""

    explanations: ExplanationLog
    learner: PauseLearner = field(factory=PauseLearner)
    max_hold_seconds: float = MAX_HOLD_SECONDS
    programs: OrderedDict[str, PausedProgram] = field(factory=OrderedDict)
    pinned_tokens: dict[str, int] = field(factory=dict)
    order_sender: trio.MemorySendChannel[PinOrder] = field(init=False)
    order_receiver: trio.MemoryReceiveChannel[PinOrder] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the queue of orders."""
        channel = trio.open_memory_channel(MAX_QUEUED_ORDERS)
        self.order_sender = channel[0]
        self.order_receiver = channel[1]

    async def run(
        self,
        clients: EngineClients,
        is_owned: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        """Renew pins and execute orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._execute_orders, clients)
            while True:
                await trio.sleep(RENEW_INTERVAL_SECONDS)
                self.renew(is_owned, clock())

    def renew(self, is_owned: Callable[[str], bool], now: float) -> None:
        """Renew pins of owned programs until their holds end; forget others.

        The pin of a program with another owner is left to expire, not
        released, since that owner may have pinned the same prefix.
        """
        for program_id, paused in self.programs.items():
            pin = paused.pin
            if pin is None:
                continue
            if now < pin.expires_at and is_owned(program_id):
                self._enqueue(PinOrder(pin, pin.expires_at - now))
            else:
                paused.pin = None
                self._add_pinned_tokens(pin, -pin.tokens)

    def handle_resume(self, program_id: str, now: float) -> None:
        """Record how long the program paused."""
        paused = self.programs.get(program_id)
        if paused is not None:
            self.learner.learn(paused.tool, now - paused.finished_at)

    def set_tool(self, program_id: str, tool: str) -> None:
        """Attribute the current pause to the tool that the program calls."""
        paused = self.programs.get(program_id)
        if paused is not None:
            paused.tool = tool

    def handle_pause(
        self,
        decision: PlacementDecision,
        cache: CacheState,
        prefill_seconds_per_token: float,
        now: float,
    ) -> None:
        """Decide the retention of the prefix of the call that just ended."""
        request = decision.request
        chosen = self._decide_retention(
            decision, cache, prefill_seconds_per_token
        )
        self.explanations.record(explain_retention(decision, chosen, now))
        before = self.programs.get(request.program_id)
        paused = PausedProgram(now, request.caller)
        if before is not None:
            self._release_pin(before)
        if chosen.retention is Retention.keep:
            paused.pin = self._pin(decision, chosen.hold_seconds, now)
        self._store_program(request.program_id, paused)

    def handle_end(self, program_id: str) -> None:
        """Release the pin of an ended program."""
        paused = self.programs.pop(program_id, None)
        if paused is not None:
            self._release_pin(paused)

    async def _execute_orders(self, clients: EngineClients) -> None:
        async for order in self.order_receiver:
            with trio.move_on_after(ORDER_TIMEOUT_SECONDS):
                await _execute_order(order, clients)

    def _decide_retention(
        self,
        decision: PlacementDecision,
        cache: CacheState,
        prefill_seconds_per_token: float,
    ) -> PauseDecision:
        request = decision.request
        tokens = request.prompt_tokens
        pinned = self.pinned_tokens.get(decision.url, 0) + tokens
        if pinned > MAX_PINNED_SHARE * cache.capacity_tokens:
            return DROP_PREFIX
        situation = PauseSituation(
            tool=request.caller,
            prefix_tokens=tokens,
            rebuild_seconds=tokens * prefill_seconds_per_token,
            priority_weight=1 + request.priority / TOP_PRIORITY,
            cache_utilization=cache.used_tokens / cache.capacity_tokens,
            cache_capacity_tokens=cache.capacity_tokens,
        )
        return decide_retention(self.learner, situation, self.max_hold_seconds)

    def _pin(
        self, decision: PlacementDecision, hold_seconds: float, now: float
    ) -> Pin:
        block = decision.request.blocks[-1].block
        tokens = decision.request.prompt_tokens
        pin = Pin(decision.url, block, tokens, now + hold_seconds)
        self._add_pinned_tokens(pin, tokens)
        self._enqueue(PinOrder(pin, hold_seconds))
        return pin

    def _release_pin(self, paused: PausedProgram) -> None:
        pin = paused.pin
        if pin is not None:
            paused.pin = None
            self._add_pinned_tokens(pin, -pin.tokens)
            self._enqueue(PinOrder(pin, 0))

    def _store_program(self, program_id: str, paused: PausedProgram) -> None:
        self.programs[program_id] = paused
        self.programs.move_to_end(program_id)
        if len(self.programs) > MAX_PROGRAMS:
            self._release_pin(self.programs.popitem(last=False)[1])

    def _add_pinned_tokens(self, pin: Pin, tokens: int) -> None:
        self.pinned_tokens[pin.url] = (
            self.pinned_tokens.get(pin.url, 0) + tokens
        )

    def _enqueue(self, order: PinOrder) -> None:
        with suppress(trio.WouldBlock):
            # A dropped order costs a recompute, or its pin expires later.
            self.order_sender.send_nowait(order)


def explain_retention(
    decision: PlacementDecision, chosen: PauseDecision, now: float
) -> Explanation:
    """Return the explanation of a retention decision."""
    numbers = (
        ('return probability', chosen.return_probability),
        ('within seconds', chosen.hold_seconds),
        ('saving in weighted seconds', chosen.saved_seconds),
        ('memory cost in seconds', chosen.memory_cost_seconds),
    )
    reason = ', '.join(f'{name} {round(number, 3)}' for name, number in numbers)
    return Explanation(
        at=now,
        program_id=decision.request.program_id,
        request_id=decision.request.request_id,
        target=decision.request.target,
        decision=chosen.retention.value,
        runner=decision.runner,
        reason=reason,
        waited_seconds=0,
        calls_ahead=0,
        options=(),
    )


async def _execute_order(order: PinOrder, clients: EngineClients) -> None:
    engine = clients.engine(order.pin.url)
    try:
        if order.hold_seconds:
            seconds = min(order.hold_seconds, PIN_TTL_SECONDS)
            await engine.pin(order.pin.block, seconds, PIN_FENCE)
        else:
            await engine.unpin(order.pin.block)
    except JasminewheelError as error:
        events.PIN_REFUSED.log(LOGGER, url=order.pin.url, error=error)
