"""Hold what one entry believes of the replicas, from what came back."""

import logging
from collections.abc import Iterable

from attrs import define, field

from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.events import conversation as events
from jasminewheel.errors import DiskReplacedError, JasminewheelError

# A replica that failed is asked last for this long.
SUSPECT_TTL_SECONDS = 2.0
# A disk whose VM says that it is lost is not asked for this long.
REPLACED_TTL_SECONDS = 10.0
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class ReplicaHealth:
    """Hold, by disk, which replicas are doubted, lost, or were heard."""

    suspect_until: dict[str, float] = field(factory=dict)
    replaced_until: dict[str, float] = field(factory=dict)
    # When a replica answered last on the direct path.
    last_reply_at: dict[str, float] = field(factory=dict)

    def is_suspect(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica did not answer a moment ago."""
        return self.suspect_until.get(replica.disk_id, 0) > now

    def is_replaced(self, replica: Replica, now: float) -> bool:
        """Tell whether another disk stands where the replica's was."""
        return self.replaced_until.get(replica.disk_id, 0) > now

    def is_unavailable(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica is lost or did not answer a moment ago."""
        return self.is_suspect(replica, now) or self.is_replaced(replica, now)

    def unresponsive(
        self, replicas: Iterable[Replica], since: float, now: float
    ) -> list[Replica]:
        """Return those of which nothing came directly since then.

        One that answers other questions is slow, not cut off, and would be
        slower for questions that reach it twice.
        """
        return [
            one
            for one in replicas
            if not self.is_replaced(one, now)
            and self.last_reply_at.get(one.disk_id, 0) < since
        ]

    def note_failure(
        self, replica: Replica, error: JasminewheelError, now: float
    ) -> None:
        """Ask a replica last for a while, and one that is lost not at all."""
        if isinstance(error, DiskReplacedError):
            self.note_replaced(replica, error, now)
            return
        if not self.is_suspect(replica, now):
            events.REPLICA_UNRESPONSIVE.log(
                _LOGGER,
                vm=replica.vm,
                disk=replica.disk_id,
                problem=error,
            )
        self.suspect(replica, now)

    def note_replaced(
        self, replica: Replica, error: DiskReplacedError, now: float
    ) -> None:
        """Ask a lost disk no more; only a change of the set helps."""
        if not self.is_replaced(replica, now):
            events.REPLICA_REPLACED.log(
                _LOGGER,
                vm=replica.vm,
                disk=replica.disk_id,
                problem=error.message,
            )
        self.suspect_until.pop(replica.disk_id, None)
        self.replaced_until[replica.disk_id] = now + REPLACED_TTL_SECONDS

    def note_no_reply(self, replica: Replica, now: float) -> None:
        """Doubt the direct path to a replica, until it answers there."""
        if not self.is_suspect(replica, now):
            events.RELAY_USED.log(_LOGGER, vm=replica.vm, disk=replica.disk_id)
        self.suspect(replica, now)

    def suspect(self, replica: Replica, now: float) -> None:
        """Trust a replica no more for a while."""
        self.suspect_until[replica.disk_id] = now + SUSPECT_TTL_SECONDS

    def note_success(self, replica: Replica, now: float) -> None:
        """Trust a replica that answered."""
        self.last_reply_at[replica.disk_id] = now
        if self.suspect_until.pop(replica.disk_id, None):
            events.REPLICA_RECOVERED.log(_LOGGER, vm=replica.vm)
