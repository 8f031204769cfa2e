"""Send requests to the replicas of an owned slot under its fence."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

import trio
from attrs import define, field

from jasminewheel._internal.replication.copy_progress import CopyProgress
from jasminewheel._internal.replication.replicas import (
    Replicas,
    ReplicaSets,
    SlotTarget,
    Votes,
)
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import FencedError


@define
class OwnershipSession:
    """Track the fence of an owned slot and whether it was superseded."""

    replicas: Replicas
    target: SlotTarget
    is_lost: bool = False
    move_done: trio.Event | None = None
    progress: CopyProgress = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without copy progress."""
        self.retarget(self.target)

    def retarget(self, target: SlotTarget) -> None:
        """Continue under another fence and restart the copy progress."""
        self.target = target
        self.progress = CopyProgress(self.replicas, target)

    def needs_move(self, sets: ReplicaSets) -> bool:
        """Return whether these sets are newer and differ."""
        known = (self.target.sets.current, self.target.sets.previous)
        changed = known != (sets.current, sets.previous)
        return changed and self.target.sets.epoch < sets.epoch

    @contextmanager
    def moving_slot(self) -> Iterator[None]:
        """Attribute refusals to this move of the slot until it ends."""
        moved = trio.Event()
        self.move_done = moved
        with ExitStack() as stack:
            stack.callback(moved.set)
            yield
        self.move_done = None

    def ask(
        self, target: SlotTarget, request_of: Callable[[str], Any]
    ) -> Votes:
        """Send a request to all replicas of the slot."""
        if self.is_lost:
            raise FencedError('the slot is no longer owned')
        return self.replicas.ask_all(target.sets, request_of, wire.Acknowledged)

    async def wait_settled(self, votes: Votes, target: SlotTarget) -> None:
        """Wait for a majority; mark the slot lost if it was fenced off."""
        try:
            await votes.wait_majority()
        except FencedError:
            await self.handle_fenced(target)
            raise

    async def handle_fenced(self, target: SlotTarget) -> None:
        """Mark the slot lost unless its own move caused the refusal."""
        if self.move_done is not None:
            await self.move_done.wait()
        if target is self.target:
            self.is_lost = True

    async def mark_copied(self, target: SlotTarget) -> None:
        """Record at a majority that all logs are complete at this epoch."""
        votes = self.ask(
            target, lambda name: wire.MarkCopied(target.scope(name))
        )
        await self.wait_settled(votes, target)

    def void_former_replicas(self, former: SlotTarget) -> None:
        """Void the slot in the background at replicas that left its sets."""
        target = self.target
        left = set(former.sets.members()) - set(target.sets.members())
        requests = {
            name: wire.SealSlot(target.voiding_scope(name)) for name in left
        }
        self.replicas.ask_each(target.sets, requests, wire.SlotSealed)
