"""Hand changes of the store on to the processes that follow this one."""

import trio
from attrs import frozen

from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.store.change_log import ChangeLog
from jasminewheel._internal.store.wire_items import items_to_wire
from jasminewheel._internal.wire.gen.conversation import ttypes as wire

# The longest that a follower's question is held.
MAX_WAIT_SECONDS = 5.0


@frozen
class ReaderService:
    """Answer followers with the changes that this process has read."""

    log: ChangeLog

    async def await_changes(
        self, exchange: Exchange, request: wire.AwaitChanges
    ) -> wire.KnownChanges:
        """Reply with the next changes, or once there are none for the wait.

        A process that loses the store says so at once.
        """
        after = request.after_revision or 0
        wait_seconds = min(request.wait_seconds or 0, MAX_WAIT_SECONDS)
        mirror = self.log.mirror
        with trio.move_on_after(wait_seconds):
            while mirror.is_readable and mirror.known_revision <= after:
                await self.log.changed.wait()
        return self.reply(after, trio.current_time())

    def reply(self, after_revision: int, now: float) -> wire.KnownChanges:
        """Return the changes after a revision, none if the store is away."""
        mirror = self.log.mirror
        if not mirror.is_readable:
            return wire.KnownChanges(
                revision=mirror.known_revision,
                reads=False,
                silent=mirror.contact.lost_silently(),
            )
        changes = self.log.changes(after_revision, now)
        return wire.KnownChanges(
            written=items_to_wire(changes.written),
            removed=list(changes.removed),
            revision=changes.revision,
            settled=bool(changes.settled),
            reads=True,
            complete=changes.complete,
            confirms=mirror.contact.can_confirm_settled(now),
            age_seconds=mirror.contact.read_age(now),
        )
