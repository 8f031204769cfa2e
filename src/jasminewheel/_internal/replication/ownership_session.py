"""Speak for one slot at its replicas, under the fence it is owned at."""

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
    """Hold the fence of an owned slot, and whether it still stands."""

    replicas: Replicas
    target: SlotTarget
    is_lost: bool = False
    move_done: trio.Event | None = None
    progress: CopyProgress = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with nothing copied."""
        self.retarget(self.target)

    def retarget(self, target: SlotTarget) -> None:
        """Go on under another fence, with nothing copied under it."""
        self.target = target
        self.progress = CopyProgress(self.replicas, target)

    def needs_move(self, sets: ReplicaSets) -> bool:
        """Tell whether the slot has to move to these sets."""
        known = (self.target.sets.current, self.target.sets.previous)
        changed = known != (sets.current, sets.previous)
        return changed and self.target.sets.epoch < sets.epoch

    @contextmanager
    def moving_slot(self) -> Iterator[None]:
        """Take refusals as due to a move of the own slot while it lasts."""
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
        """Wait for a majority; note when the slot is lost."""
        try:
            await votes.wait_majority()
        except FencedError:
            await self.handle_fenced(target)
            raise

    async def handle_fenced(self, target: SlotTarget) -> None:
        """Lose the slot, unless its own move is why it was refused."""
        if self.move_done is not None:
            await self.move_done.wait()
        if target is self.target:
            self.is_lost = True

    async def mark_copied(self, target: SlotTarget) -> None:
        """Note at a majority that all logs are whole at this epoch."""
        votes = self.ask(
            target, lambda name: wire.MarkCopied(target.scope(name))
        )
        await self.wait_settled(votes, target)

    def void_former_replicas(self, former: SlotTarget) -> None:
        """Void the slot, in background, at replicas that left its sets."""
        target = self.target
        left = set(former.sets.members()) - set(target.sets.members())
        requests = {
            name: wire.SealSlot(target.voiding_scope(name)) for name in left
        }
        self.replicas.ask_each(target.sets, requests, wire.SlotSealed)
