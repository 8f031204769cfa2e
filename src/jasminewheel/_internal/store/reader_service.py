"""Hand changes of the store on to the processes that follow this one."""

import trio
from attrs import frozen

from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.store.change_log import ChangeLog
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
        with trio.move_on_after(wait_seconds):
            while self.reads() and self.log.mirror.known_revision <= after:
                await self.log.changed.wait()
        return self.reply(after, trio.current_time())

    def reads(self) -> bool:
        """Return whether the store answers this process."""
        mirror = self.log.mirror
        return mirror.available and mirror.loaded.is_set()

    def reply(self, after_revision: int, now: float) -> wire.KnownChanges:
        """Return the changes after a revision, none if the store is away."""
        if not self.reads():
            return wire.KnownChanges(
                written=[],
                removed=[],
                revision=self.log.mirror.known_revision,
                settled=False,
                reads=False,
                complete=False,
                confirms=False,
                silent=self.log.mirror.contact.lost_silently(),
            )
        changes = self.log.changes(after_revision, now)
        return wire.KnownChanges(
            written=[
                wire.KnownItem(
                    key=one.key, value=one.value, revision=one.revision
                )
                for one in changes.written
            ],
            removed=list(changes.removed),
            revision=changes.revision,
            settled=bool(changes.settled),
            reads=True,
            complete=changes.complete,
            confirms=self.log.mirror.contact.can_confirm_settled(now),
            silent=False,
        )
