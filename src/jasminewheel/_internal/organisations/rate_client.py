"""Ask limiters for the calls that an entry may pass on."""

import logging
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import organisations as events
from jasminewheel._internal.organisations.held_calls import HeldCalls
from jasminewheel._internal.organisations.organisation import (
    GRANT_SECONDS,
    Organisation,
)
from jasminewheel._internal.organisations.rate_limiter import Grant
from jasminewheel._internal.store.proof import boot_seconds
from jasminewheel.errors import (
    JasminewheelError,
    OverloadedError,
    UnavailableError,
)

# A limiter that did not answer is not asked again for this time.
AVOID_SECONDS = 3.0
# A call waits for no longer until one may be granted, and only behind so many
# others: its caller is told at once if that is not enough.
MAX_WAIT_SECONDS = 0.2
LEAST_WAIT_SECONDS = 0.01
MAX_WAITING = 8
# Retry-After if no limiter answers.
UNREACHABLE_RETRY_SECONDS = 0.3
# Organisations whose calls are held; the least recent one is dropped beyond.
MAX_ORGANISATIONS = 4096
_LOGGER = logging.getLogger(__name__)


@frozen
class Limiter:
    """Identify a process that grants calls; nearer ones are asked first."""

    address: str
    distance_seconds: float


class LimiterPort(Protocol):
    """Reach the limiters."""

    def limiters(self) -> Iterable[Limiter]:
        """Return the limiters that share each rate."""

    async def ask(
        self, limiter: Limiter, name: str, wanted: int, returned: int
    ) -> Grant:
        """Return what a limiter grants; raise JasminewheelError without."""


@define(eq=False)
class RateClient:
    """Hold the calls that limiters grant to each organisation."""

    port: LimiterPort
    random: Random = field(factory=Random)
    # Counts suspended time, so that no grant outlasts a suspension.
    clock: Callable[[], float] = boot_seconds
    held: dict[str, HeldCalls] = field(factory=dict)
    # Until when a limiter that did not answer is avoided.
    avoided_until: dict[str, float] = field(factory=dict)
    # Calls refused because their organisation is over its rate.
    refused: int = 0

    async def take(self, organisation: Organisation) -> None:
        """Take one call of an organisation.

        Raise OverloadedError if it is over its rate, and UnavailableError if
        no limiter answers.
        """
        held = self.held_calls(organisation.name)
        now = self.clock()
        held.demand.record(now)
        if held.spend(now):
            return
        if held.lock.statistics().tasks_waiting >= MAX_WAITING:
            raise self.refusal(organisation, held)
        async with held.lock:
            await self.fetch(organisation, held, now + MAX_WAIT_SECONDS)

    def held_calls(self, name: str) -> HeldCalls:
        """Return what is held for an organisation."""
        held = self.held.pop(name, None) or HeldCalls()
        self.held[name] = held
        if len(self.held) > MAX_ORGANISATIONS:
            self.held.pop(next(iter(self.held)))
        return held

    async def fetch(
        self, organisation: Organisation, held: HeldCalls, until: float
    ) -> None:
        """Take a call that a limiter grants; raise if none does in time."""
        while not held.spend(self.clock()):
            waiting = 1 + held.lock.statistics().tasks_waiting
            answered = await self.ask_all(
                organisation.name, held, waiting + held.expected()
            )
            if not answered:
                raise UnavailableError(
                    'no process that limits calls answers',
                    retry_after_seconds=UNREACHABLE_RETRY_SECONDS,
                )
            await self.wait_for_calls(organisation, held, until)

    async def wait_for_calls(
        self, organisation: Organisation, held: HeldCalls, until: float
    ) -> None:
        """Wait until a limiter may grant a call; raise if that is too late."""
        now = self.clock()
        held.drop_ended(now)
        if held.grants:
            return
        seconds = held.retry_seconds(now)
        if now + seconds > until:
            raise self.refusal(organisation, held)
        await trio.sleep(max(LEAST_WAIT_SECONDS, seconds))

    def refusal(
        self, organisation: Organisation, held: HeldCalls
    ) -> OverloadedError:
        """Return the error of a call over the rate.

        Callers return at spread times, at about the rate.
        """
        self.refused += 1
        seconds = held.retry_seconds(self.clock())
        waiting = MAX_WAITING * self.random.random() / organisation.rate
        return OverloadedError(
            f'{organisation.name} is over its rate of {organisation.rate}',
            retry_after_seconds=seconds + waiting,
        )

    async def ask_all(self, name: str, held: HeldCalls, wanted: int) -> bool:
        """Ask limiters, nearest first, until one grants calls.

        Return whether one answered, now or a moment ago.
        """
        granted: int | None = None
        answered = False
        waiting = self.by_distance()
        while waiting and not granted:
            limiter = waiting.pop(0)
            if held.is_empty(limiter.address, self.clock()):
                granted = 0
            else:
                granted = await self.ask_one(limiter, name, held, wanted)
            answered = answered or granted is not None
        return answered

    def by_distance(self) -> list[Limiter]:
        """Return the limiters that are not avoided, nearest first."""
        now = self.clock()
        usable = [
            one
            for one in self.port.limiters()
            if now >= self.avoided_until.get(one.address, now)
        ]
        # Equally near ones share the load.
        self.random.shuffle(usable)
        return sorted(usable, key=lambda one: one.distance_seconds)

    async def ask_one(
        self, limiter: Limiter, name: str, held: HeldCalls, wanted: int
    ) -> int | None:
        """Return how many calls a limiter granted; None if it failed."""
        asked_at = self.clock()
        returned = held.take_back(limiter.address, asked_at)
        try:
            grant = await self.port.ask(limiter, name, wanted, returned)
        except JasminewheelError as error:
            self.avoid(limiter, error)
            return None
        seconds = self.clock() - asked_at
        if grant.calls and seconds >= GRANT_SECONDS:
            # Asked again at once, an overloaded limiter would stay so.
            self.avoid(limiter, f'the grant came after {seconds:.2f} s')
            return None
        held.add(limiter.address, grant.calls, asked_at)
        if not grant.calls:
            held.empty_until[limiter.address] = (
                self.clock() + grant.retry_after_seconds
            )
        return grant.calls

    def avoid(self, limiter: Limiter, problem: object) -> None:
        """Ask other limiters for a while."""
        self.avoided_until[limiter.address] = self.clock() + AVOID_SECONDS
        events.LIMITER_FAILED.log(
            _LOGGER, limiter=limiter.address, problem=problem
        )

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges on rates."""
        return {
            'organisations_active': len(self.held),
            'calls_over_rate': self.refused,
        }
