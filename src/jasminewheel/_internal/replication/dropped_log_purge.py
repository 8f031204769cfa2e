"""Let replicas forget dropped logs that can no longer come back."""

import logging

from attrs import frozen

from jasminewheel._internal.replication.replicas import (
    Replicas,
    SlotTarget,
    Votes,
)
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import JasminewheelError

_LOGGER = logging.getLogger(__name__)


@frozen
class DroppedLogPurge:
    """Finish drops that some replicas missed, and purge the others.

    Once every replica has promised the new fence, no request of an earlier
    owner can bring back a log that none of them holds.
    """

    replicas: Replicas
    target: SlotTarget
    sealed: Votes

    async def run(self) -> None:
        """Wait for all replicas; do nothing if one is missing."""
        try:
            await self.sealed.wait_all()
        except JasminewheelError as error:
            _LOGGER.debug('no purge of slot %d: %s', self.target.slot, error)
            return
        if len(self.sealed.accepted) == len(self.target.sets.members()):
            self.purge()

    def purge(self) -> None:
        """Ask all replicas, in background."""
        answers = self.sealed.accepted.values()
        dropped = {name for answer in answers for name in answer.dropped}
        live = {name for answer in answers for name in answer.logs}
        for missed in dropped & live:
            self.drop(missed)
        needless = sorted(dropped - live)
        if needless:
            self.replicas.ask_all(
                self.target.sets,
                lambda name: wire.PurgeLogs(self.target.scope(name), needless),
                wire.Acknowledged,
            )

    def drop(self, log_id: str) -> None:
        """Drop a log where it is still live."""
        self.replicas.ask_all(
            self.target.sets,
            lambda name: wire.DropLog(self.target.scope(name), log_id),
            wire.Acknowledged,
        )
