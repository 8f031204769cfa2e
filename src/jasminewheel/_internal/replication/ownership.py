"""Take over slots by sealing a majority of their replicas."""

import logging
import random
from collections.abc import Callable

import trio

from jasminewheel._internal.events import replication as events
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.placement import (
    Placement,
    PlacementSource,
    PlacementView,
)
from jasminewheel._internal.replication.dropped_log_purge import DroppedLogPurge
from jasminewheel._internal.replication.replicas import (
    Replicas,
    ReplicaSets,
    SlotTarget,
    Votes,
)
from jasminewheel._internal.replication.slot import (
    RESEAL_DROPS,
    OwnedSlot,
    SealedLogs,
)
from jasminewheel._internal.wire.gen.history.ttypes import (
    SealSlot,
    SlotSealed,
)
from jasminewheel.errors import FencedError, JasminewheelError

SEAL_ATTEMPTS = 6
RESEAL_INTERVAL_SECONDS = 60.0
# Upper bound, per attempt made, of the random backoff of owners that race.
SEAL_BACKOFF_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


class Ownership:
    """Track and acquire the slots that this process owns."""

    def __init__(
        self,
        pool: PeerPool,
        identity: PeerIdentity,
        placement_source: PlacementSource,
        address_of: Callable[[str], str],
    ) -> None:
        """Start without slots; address_of gets a history's member name."""
        self.identity = identity
        self.placement_source = placement_source
        self.replicas = Replicas(pool, address_of)
        self.slots: dict[int, OwnedSlot] = {}
        self.locks: dict[int, trio.Lock] = {}
        self.terms: dict[int, int] = {}

    async def own(self, slot: int) -> OwnedSlot:
        """Return the slot and seal it first if it is not owned here.

        Raises QuorumError if too few replicas answer, and FencedError if
        other processes win each attempt or the placement is too old.
        """
        owned = self.owned(slot)
        if owned:
            return owned
        async with self.locks.setdefault(slot, trio.Lock()):
            owned = self.owned(slot)
            if owned is None:
                placement = self.placement_source.current
                owned = await self.seal(slot, placement)
                self.slots[slot] = owned
                if placement.sets_of(slot).is_changing:
                    # A slot that is taken over during a change is copied here.
                    nursery = self.replicas.pool.nursery
                    nursery.start_soon(self.try_move, slot, placement)
            return owned

    def of_placement(self, placement: Placement) -> 'Ownership':
        """Return an ownership without slots and with a fixed placement."""
        return Ownership(
            self.replicas.pool,
            self.identity,
            PlacementView(placement),
            self.replicas.address_of,
        )

    async def follow(self, view: PlacementView) -> None:
        """Move owned slots to each newer placement until cancelled."""
        epoch = 0
        while True:
            placement = await view.changed(epoch)
            epoch = placement.epoch
            left = sorted(self.slots)
            while left:
                await self.try_move(left.pop(), placement)

    async def try_move(self, slot: int, placement: Placement) -> None:
        """Move a slot; after a failure the next change retries it."""
        try:
            await self.move(slot, placement)
        except JasminewheelError as error:
            events.SLOT_NOT_MOVED.log(_LOGGER, slot=slot, problem=error)

    async def reseal_slots(self) -> None:
        """Seal slots with many dropped logs again, until cancelled.

        Replicas may forget dropped logs only under a higher fence.
        """
        while True:
            await trio.sleep(RESEAL_INTERVAL_SECONDS)
            due = [
                slot
                for slot, owned in self.slots.items()
                if owned.drop_count >= RESEAL_DROPS
            ]
            while due:
                await self.try_move(due.pop(), self.placement_source.current)

    async def move(self, slot: int, placement: Placement) -> None:
        """Seal an owned slot under a newer placement and copy its logs.

        The logs are copied also if another task has sealed the slot, or if
        an earlier copy failed.
        """
        former = None
        async with self.locks.setdefault(slot, trio.Lock()):
            owned = self.owned(slot)
            if owned is None:
                return
            if needs_reseal(owned, placement.sets_of(slot)):
                former = owned.session.target
                with owned.session.moving_slot():
                    sealed = await self.seal(slot, placement)
                    owned.move(sealed.session.target, sealed.logs)
        if owned.session.target.sets.is_changing:
            await owned.copy_logs()
        if former:
            owned.session.void_former_replicas(former)
            events.SLOT_MOVED.log(_LOGGER, slot=slot, epoch=placement.epoch)

    def owned(self, slot: int) -> OwnedSlot | None:
        """Return the slot if this process owns it.

        Another process may have taken it over unnoticed: only a request to
        a majority of the replicas shows that.
        """
        owned = self.slots.get(slot)
        if owned and owned.session.is_lost:
            self.release(slot)
            return None
        return owned

    def release(self, slot: int) -> None:
        """Stop owning a slot; another process may seal it at any time."""
        owned = self.slots.pop(slot, None)
        if owned:
            owned.session.is_lost = True

    async def seal(self, slot: int, placement: Placement) -> OwnedSlot:
        """Seal the slot under a term that a majority promises."""
        attempt = 0
        while True:
            target = SlotTarget(
                slot,
                self.next_fence(slot, placement.epoch),
                placement.sets_of(slot),
            )
            try:
                return await self.try_seal(target)
            except FencedError:
                attempt += 1
                if attempt >= SEAL_ATTEMPTS:
                    raise
            await trio.sleep(SEAL_BACKOFF_SECONDS * random.random() * attempt)

    async def try_seal(self, target: SlotTarget) -> OwnedSlot:
        """Seal the slot under one fence."""
        votes = self.replicas.ask_all(
            target.sets,
            lambda name: SealSlot(target.scope(name)),
            SlotSealed,
        )
        await self.wait_promised(target, votes)
        events.SLOT_SEALED.log(
            _LOGGER, slot=target.slot, fence=target.fence.number
        )
        purge = DroppedLogPurge(self.replicas, target, votes)
        self.replicas.pool.nursery.start_soon(purge.run)
        return OwnedSlot(self.replicas, target, merge_sealed_logs(votes))

    async def wait_promised(self, target: SlotTarget, votes: Votes) -> None:
        """Wait for a majority; raise FencedError if any replica refused.

        A replica that promised a higher fence would refuse every append, so
        the caller retries with a higher term.
        """
        try:
            await votes.wait_majority()
        except FencedError:
            self.record_refusals(target, votes)
            raise
        if votes.refused:
            self.record_refusals(target, votes)
            raise votes.failure()

    def record_refusals(self, target: SlotTarget, votes: Votes) -> None:
        """Record the term to exceed; raise if the placement is too old."""
        highest = max(votes.refused.values())
        if highest.epoch > target.sets.epoch:
            raise FencedError(
                f'slot {target.slot} is at the newer epoch {highest.epoch}',
                remedy='wait until this process has the newer placement',
            )
        known = self.terms.get(target.slot, 0)
        self.terms[target.slot] = max(known, highest.term)

    def next_fence(self, slot: int, epoch: int) -> Fence:
        """Return a fence that this process has never used."""
        term = self.terms.get(slot, 0) + 1
        self.terms[slot] = term
        return Fence(
            epoch, term, self.identity.member, self.identity.incarnation
        )


def needs_reseal(owned: OwnedSlot, sets: ReplicaSets) -> bool:
    """Return whether to seal again: for newer sets or after many drops."""
    return owned.session.needs_move(sets) or owned.drop_count >= RESEAL_DROPS


def merge_sealed_logs(votes: Votes) -> SealedLogs:
    """Merge the lists of logs from the replicas."""
    live: set[str] = set()
    dropped: set[str] = set()
    for answer in votes.accepted.values():
        live.update(answer.logs)
        dropped.update(answer.dropped)
    return SealedLogs(frozenset(live - dropped), frozenset(dropped))
