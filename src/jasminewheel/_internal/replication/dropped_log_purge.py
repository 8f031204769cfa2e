"""Purge dropped logs that no replica can restore."""

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
    """Complete drops that some replicas missed and purge the others.

    Once every replica has promised the new fence, no request of an earlier
    owner can restore a log that no replica stores.
    """

    replicas: Replicas
    target: SlotTarget
    sealed: Votes

    async def run(self) -> None:
        """Purge once all replicas accepted the seal; else do nothing."""
        try:
            await self.sealed.wait_all()
        except JasminewheelError as error:
            _LOGGER.debug(
                'dropped logs of slot %d not purged: %s',
                self.target.slot,
                error,
            )
            return
        if len(self.sealed.accepted) == len(self.target.sets.members()):
            self.purge()

    def purge(self) -> None:
        """Send drops and purges to all replicas in the background."""
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
        """Drop a log at replicas where it is still live."""
        self.replicas.ask_all(
            self.target.sets,
            lambda name: wire.DropLog(self.target.scope(name), log_id),
            wire.Acknowledged,
        )
