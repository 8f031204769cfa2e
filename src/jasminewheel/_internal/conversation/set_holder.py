"""Provide the newest replica set that this process has seen."""

import logging

import trio
from attrs import define, field

from jasminewheel._internal.conversation.replica_set import (
    NO_SET,
    ReplicaSet,
)
from jasminewheel._internal.events import conversation as events

# How long to wait for a newer set after a replica rejected this revision.
SET_WAIT_TIMEOUT_SECONDS = 1.0
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class SetHolder:
    """Provide the newest replica set, and wake tasks that wait for it."""

    current: ReplicaSet = NO_SET
    changed: trio.Event = field(factory=trio.Event)

    def adopt(self, replica_set: ReplicaSet) -> None:
        """Replace the current set if the given one is newer."""
        if replica_set.revision <= self.current.revision:
            return
        self.current = replica_set
        self.changed.set()
        self.changed = trio.Event()
        events.SET_ADOPTED.log(
            _LOGGER,
            revision=replica_set.revision,
            members=[one.vm for one in replica_set.members],
            joining=[one.vm for one in replica_set.joining],
        )

    async def wait_for_newer(self, revision: int) -> None:
        """Wait up to a time limit for a set newer than the revision."""
        with trio.move_on_after(SET_WAIT_TIMEOUT_SECONDS):
            while self.current.revision <= revision:
                await self.changed.wait()
