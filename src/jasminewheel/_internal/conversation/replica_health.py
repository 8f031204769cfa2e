"""Hold what one entry believes of the replicas, from what came back."""

import logging
from collections.abc import Iterable

from attrs import define, field

from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.events import conversation as events
from jasminewheel.errors import DiskReplacedError, JasminewheelError

# A replica that failed is asked last for this long.
SUSPECT_SECONDS = 2.0
# A disk whose VM says that it is lost is not asked for this long.
GONE_SECONDS = 10.0
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class ReplicaBeliefs:
    """Hold, by disk, which replicas are doubted, lost, or were heard."""

    suspect_until: dict[str, float] = field(factory=dict)
    gone_until: dict[str, float] = field(factory=dict)
    # When a replica answered last on the direct path.
    heard_at: dict[str, float] = field(factory=dict)

    def is_suspect(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica did not answer a moment ago."""
        return self.suspect_until.get(replica.disk_id, 0) > now

    def is_gone(self, replica: Replica, now: float) -> bool:
        """Tell whether another disk stands where the replica's was."""
        return self.gone_until.get(replica.disk_id, 0) > now

    def is_doubted(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica is lost or did not answer a moment ago."""
        return self.is_suspect(replica, now) or self.is_gone(replica, now)

    def silent(
        self, replicas: Iterable[Replica], since: float, now: float
    ) -> list[Replica]:
        """Return those of which nothing came directly since then.

        One that answers other questions is slow, not cut off, and would be
        slower for questions that reach it twice.
        """
        return [
            one
            for one in replicas
            if not self.is_gone(one, now)
            and self.heard_at.get(one.disk_id, 0) < since
        ]

    def note_failure(
        self, replica: Replica, error: JasminewheelError, now: float
    ) -> None:
        """Ask a replica last for a while, and one that is lost not at all."""
        if isinstance(error, DiskReplacedError):
            self.note_gone(replica, error, now)
            return
        if not self.is_suspect(replica, now):
            events.REPLICA_LOST.log(
                _LOGGER,
                vm=replica.vm,
                disk=replica.disk_id,
                problem=error,
            )
        self.doubt(replica, now)

    def note_gone(
        self, replica: Replica, error: DiskReplacedError, now: float
    ) -> None:
        """Ask a lost disk no more; only a change of the set helps."""
        if not self.is_gone(replica, now):
            events.REPLICA_GONE.log(
                _LOGGER,
                vm=replica.vm,
                disk=replica.disk_id,
                problem=error.message,
            )
        self.suspect_until.pop(replica.disk_id, None)
        self.gone_until[replica.disk_id] = now + GONE_SECONDS

    def note_silence(self, replica: Replica, now: float) -> None:
        """Doubt the direct path to a replica, until it answers there."""
        if not self.is_suspect(replica, now):
            events.RELAY_USED.log(_LOGGER, vm=replica.vm, disk=replica.disk_id)
        self.doubt(replica, now)

    def doubt(self, replica: Replica, now: float) -> None:
        """Trust a replica no more for a while."""
        self.suspect_until[replica.disk_id] = now + SUSPECT_SECONDS

    def note_success(self, replica: Replica, now: float) -> None:
        """Trust a replica that answered."""
        self.heard_at[replica.disk_id] = now
        if self.suspect_until.pop(replica.disk_id, None):
            events.REPLICA_BACK.log(_LOGGER, vm=replica.vm)
