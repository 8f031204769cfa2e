"""Run the same call for several items, a bounded number at a time."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Generic, TypeVar

import trio
from attrs import define, field

ItemT = TypeVar('ItemT')
AnswerT = TypeVar('AnswerT')


@define
class ParallelCalls(Generic[ItemT, AnswerT]):
    """Collect the results of concurrent calls."""

    call: Callable[[ItemT], Awaitable[AnswerT]]
    limiter: trio.CapacityLimiter
    answers: dict[int, AnswerT] = field(factory=dict)
    errors: list[Exception] = field(factory=list)

    async def run(
        self,
        scope: trio.CancelScope,
        position: int,
        argument: ItemT,
    ) -> None:
        """Make one call; cancel the scope if it fails."""
        async with self.limiter:
            try:
                self.answers[position] = await self.call(argument)
            except Exception as error:
                self.errors.append(error)
                scope.cancel()


@define
class FirstResult(Generic[AnswerT]):
    """Hold the result of the call that ended first."""

    answers: list[AnswerT] = field(factory=list)
    errors: list[Exception] = field(factory=list)

    async def run(
        self,
        scope: trio.CancelScope,
        call: Callable[[], Awaitable[AnswerT]],
    ) -> None:
        """Make one call, then cancel the scope of all."""
        try:
            self.answers.append(await call())
        except Exception as error:
            self.errors.append(error)
        scope.cancel()


async def first_result(*calls: Callable[[], Awaitable[AnswerT]]) -> AnswerT:
    """Return the result of the call that ends first; cancel the others.

    An error of any call is raised as it is, not in an exception group.
    """
    race: FirstResult[AnswerT] = FirstResult()
    async with trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(race.run, nursery.cancel_scope, call)
    if race.answers:
        return race.answers[0]
    raise race.errors[0]


async def map_parallel(
    call: Callable[[ItemT], Awaitable[AnswerT]],
    arguments: Iterable[ItemT],
    limit: int,
) -> list[AnswerT]:
    """Return the results in the order of the arguments.

    At most `limit` calls run at once. The first error cancels the other calls
    and is raised as it is, not in an exception group.
    """
    calls = ParallelCalls(call, trio.CapacityLimiter(limit))
    async with trio.open_nursery() as nursery:
        for position, argument in enumerate(arguments):
            nursery.start_soon(
                calls.run,
                nursery.cancel_scope,
                position,
                argument,
            )
    if calls.errors:
        raise calls.errors[0]
    return [calls.answers[number] for number in sorted(calls.answers)]
