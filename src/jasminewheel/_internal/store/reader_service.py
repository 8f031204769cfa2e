"""Hand changes of the store on to the processes that follow this one."""

import trio
from attrs import field, frozen

from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.store.change_log import ChangeLog
from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.proof import boot_seconds
from jasminewheel._internal.wire.gen.conversation import ttypes as wire

# The longest that a follower's question is held.
MAX_WAIT_SECONDS = 5.0
# A reader that the store has not answered for longer may have missed a change.
# Its watches are answered within a second, changed or not.
MAX_READ_AGE_SECONDS = 1.4


@frozen
class ReaderService:
    """Answer followers with the changes that this process has read."""

    log: ChangeLog
    values: LargeValues = field(factory=LargeValues)

    async def await_changes(
        self, exchange: Exchange, request: wire.AwaitChanges
    ) -> wire.KnownChanges:
        """Reply with the next changes, or once there are none for the wait.

        A process that loses the store says so at once, and so does one that
        the store has not answered in time.
        """
        received_at = boot_seconds()
        wait_seconds = min(request.wait_seconds or 0, MAX_WAIT_SECONDS)
        with trio.move_on_after(wait_seconds):
            await self.wait_for_news(request.after_revision or 0)
        reply = self.reply(request, trio.current_time())
        if reply.reads:
            # The asker counts from its question, which was held for a while.
            contact = self.log.mirror.contact
            reply.proof_age_seconds = contact.proof.age(received_at)
        return reply

    async def wait_for_news(self, after_revision: int) -> None:
        """Wait until there are changes, or this process is not current."""
        mirror = self.log.mirror
        while self.is_current(trio.current_time()):
            if mirror.known_revision > after_revision:
                return
            with trio.move_on_at(self.current_until()):
                await self.log.changed.wait()

    def current_until(self) -> float:
        """Return until when this process may tell what it knows.

        While a large reply of the store arrives, nobody else knows more soon.
        """
        return self.log.mirror.contact.answered_at() + MAX_READ_AGE_SECONDS

    def is_current(self, now: float) -> bool:
        """Return whether this process has read the store, and just now."""
        return self.log.mirror.is_readable and now < self.current_until()

    def reply(
        self, request: wire.AwaitChanges, now: float
    ) -> wire.KnownChanges:
        """Return the changes that are asked for, none if they may be old."""
        mirror = self.log.mirror
        if not self.is_current(now):
            return wire.KnownChanges(
                revision=mirror.known_revision,
                reads=False,
                silent=mirror.contact.lost_silently(),
            )
        changes = self.log.changes(request.after_revision or 0, now)
        return wire.KnownChanges(
            written=self.values.to_wire(changes.written, request.held),
            removed=list(changes.removed),
            revision=changes.revision,
            settled=bool(changes.settled),
            reads=True,
            complete=changes.complete,
            confirms=mirror.contact.can_confirm_settled(now),
            age_seconds=mirror.contact.read_age(now),
        )
