"""Query the histories for the entry that sealed a slot last."""

import trio
from attrs import define, field

from jasminewheel._internal.replication.fence import LOWEST_FENCE, Fence
from jasminewheel._internal.replication.placement import PlacementSource
from jasminewheel._internal.replication.replicas import Replicas, ReplicaSets
from jasminewheel._internal.wire.gen.history.ttypes import (
    DescribeSlot,
    SlotDescribed,
)
from jasminewheel.errors import JasminewheelError

SURVEY_TIMEOUT_SECONDS = 1.0


@define(eq=False)
class PromiseSurvey:
    """Collect the highest promise until a majority has answered."""

    sets: ReplicaSets
    highest: Fence = LOWEST_FENCE
    answered: set[str] = field(factory=set)
    scope: trio.CancelScope = field(factory=trio.CancelScope)

    def add(self, replica: str, answer: SlotDescribed) -> None:
        """Add one replica's answer."""
        self.highest = max(self.highest, Fence.from_wire(answer.promised))
        self.answered.add(replica)
        if self.sets.has_majority(self.answered):
            self.scope.cancel()


@define(eq=False)
class LastOwnerLookup:
    """Look up the last owner of a slot, as a hint; only seals decide."""

    replicas: Replicas
    placement_source: PlacementSource

    async def last_owner(self, slot: int) -> str:
        """Return the member of the highest fence received in time."""
        sets = self.placement_source.current.sets_of(slot)
        survey = PromiseSurvey(sets)
        survey.scope.deadline = trio.current_time() + SURVEY_TIMEOUT_SECONDS
        with survey.scope:
            async with trio.open_nursery() as nursery:
                for replica in sets.members():
                    nursery.start_soon(self.ask, survey, replica, slot)
        return survey.highest.member

    async def ask(self, survey: PromiseSurvey, replica: str, slot: int) -> None:
        """Add one replica's promise, unless the request fails."""
        try:
            answer = await self.replicas.ask(
                replica, DescribeSlot(replica, slot), SlotDescribed
            )
        except JasminewheelError:
            return
        survey.add(replica, answer)
