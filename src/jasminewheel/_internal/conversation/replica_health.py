"""Track the health of replicas, as this entry observes it."""

import logging
from collections.abc import Iterable

from attrs import define, field

from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.events import conversation as events
from jasminewheel.errors import DiskReplacedError, JasminewheelError

# A replica that failed is asked after all others for this long.
SUSPECT_TTL_SECONDS = 2.0
# A disk that its VM reports as replaced is not asked for this long.
REPLACED_TTL_SECONDS = 10.0
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class ReplicaHealth:
    """Track suspected and replaced replicas and last replies, by disk."""

    suspect_until: dict[str, float] = field(factory=dict)
    replaced_until: dict[str, float] = field(factory=dict)
    # Time of the last reply on the direct path.
    last_reply_at: dict[str, float] = field(factory=dict)

    def is_suspect(self, replica: Replica, now: float) -> bool:
        """Return whether a request to the replica failed recently."""
        return self.suspect_until.get(replica.disk_id, 0) > now

    def is_replaced(self, replica: Replica, now: float) -> bool:
        """Return whether the replica's VM now has a different disk."""
        return self.replaced_until.get(replica.disk_id, 0) > now

    def is_unavailable(self, replica: Replica, now: float) -> bool:
        """Return whether the replica is suspected or replaced."""
        return self.is_suspect(replica, now) or self.is_replaced(replica, now)

    def unresponsive(
        self, replicas: Iterable[Replica], since: float, now: float
    ) -> list[Replica]:
        """Return the replicas without a direct reply since then.

        A replica that replies to other requests is slow but reachable, and
        sending it the same request twice would slow it further.
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
        """Mark a replica as suspected, or as replaced if its disk is."""
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
        """Stop asking a replaced disk; only a change of the set helps."""
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
        """Suspect a replica that has not replied on the direct path."""
        if not self.is_suspect(replica, now):
            events.RELAY_USED.log(_LOGGER, vm=replica.vm, disk=replica.disk_id)
        self.suspect(replica, now)

    def suspect(self, replica: Replica, now: float) -> None:
        """Mark a replica as suspected for SUSPECT_TTL_SECONDS."""
        self.suspect_until[replica.disk_id] = now + SUSPECT_TTL_SECONDS

    def note_success(self, replica: Replica, now: float) -> None:
        """Clear the suspicion of a replica that replied directly."""
        self.last_reply_at[replica.disk_id] = now
        if self.suspect_until.pop(replica.disk_id, None):
            events.REPLICA_RECOVERED.log(_LOGGER, vm=replica.vm)
