"""Reconcile the replica set in the store with the disks listed there."""

import json
import logging
from typing import Protocol

import trio
from attrs import asdict, define, evolve, field

from jasminewheel._internal.conversation.catch_up import CatchUp
from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.conversation.set_change import (
    Candidate,
    SetView,
    next_set,
)
from jasminewheel._internal.conversation.set_listener import (
    DISK_PREFIX,
    SET_KEY,
    SetListener,
)
from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.leased_key import LeasedKey
from jasminewheel._internal.store.port import WatchedStore
from jasminewheel.errors import (
    JasminewheelError,
    StoreConflictError,
)

LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.25
# Delay per rank before a disk proposes a change, so that usually only one does.
PROPOSAL_STAGGER_SECONDS = 0.4
_LOGGER = logging.getLogger(__name__)


def new_listener(heartbeat_seconds: float) -> SetListener:
    """Return a listener for which disks and runners may expire in an outage."""
    # A disk's lease was renewed at most RENEW_SECONDS before an outage.
    shortest_expiry = min(heartbeat_seconds, LEASE_SECONDS - RENEW_SECONDS)
    return SetListener(contact=StoreContact(shortest_expiry))


class RetireBoard(Protocol):
    """Provide the VMs to be retired, and accept reports on their progress."""

    def retiring(self) -> frozenset[str]:
        """Return the VMs whose disks are to be removed from the set."""

    async def report(self, vm: str, *, done: bool) -> None:
        """Report that a VM is being retired, or that it has been."""


@define(eq=False)
class DiskRegistration:
    """Keep this disk listed while its process lives."""

    store: WatchedStore
    candidate: Candidate
    leased_key: LeasedKey = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the leased key that lists the disk."""
        self.leased_key = LeasedKey(
            self.store,
            DISK_PREFIX + self.candidate.replica.vm,
            self.listing_value(),
            LEASE_SECONDS,
            RENEW_SECONDS,
        )

    async def note_copied(self, revision: int) -> None:
        """Record in the store that the disk has copied for a change."""
        self.candidate = evolve(self.candidate, copied_revision=revision)
        await self.leased_key.rewrite(self.listing_value())

    def listing_value(self) -> bytes:
        """Return the value of the disk's key in the store."""
        fields = {
            'replica': asdict(self.candidate.replica),
            'copied_revision': self.candidate.copied_revision,
        }
        return json.dumps(fields).encode()


@define(eq=False)
class ReplicaSetController:
    """Propose changes of the replica set, and copy if this disk must."""

    store: WatchedStore
    listener: SetListener
    registration: DiskRegistration
    catch_up: CatchUp
    board: RetireBoard
    wanted_size: int
    may_bootstrap: bool
    started_at: float
    change_due_since: float | None = None

    @property
    def own(self) -> Replica:
        """Return this disk."""
        return self.registration.candidate.replica

    async def run(self) -> None:
        """Reconcile at intervals until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                await self.step(trio.current_time())
            except JasminewheelError as error:
                _LOGGER.info('replica set not reconciled, retrying: %s', error)

    async def step(self, now: float) -> None:
        """Copy if this disk must, propose a due change, report progress."""
        current = self.listener.holder.current
        copied = self.registration.candidate.copied_revision
        if (
            self.own in current.replicas_to_catch_up()
            and copied != current.revision
        ):
            await self.catch_up.run(current)
            await self.registration.note_copied(current.revision)
        proposed = next_set(self.view(), now)
        if proposed is None:
            self.change_due_since = None
        elif self.may_propose(now):
            await self.propose(proposed)
        await self.report_retiring()

    def view(self) -> SetView:
        """Return the input for the next decision."""
        return SetView(
            replica_set=self.listener.holder.current,
            candidates=self.listener.candidates,
            absent_since=self.listener.absent_since,
            absences_settled_at=self.listener.contact.absences_settled_at(),
            retiring=self.board.retiring(),
            wanted_size=self.wanted_size,
            may_bootstrap=self.may_bootstrap,
            started_at=self.started_at,
        )

    def may_propose(self, now: float) -> bool:
        """Return whether this disk's delay before a proposal has passed."""
        if self.change_due_since is None:
            self.change_due_since = now
        return (
            now - self.change_due_since
            >= self.rank() * PROPOSAL_STAGGER_SECONDS
        )

    def rank(self) -> int:
        """Return how many listed disks sort before this one, by VM."""
        live = sorted(self.listener.candidates)
        return live.index(self.own.vm) if self.own.vm in live else len(live)

    async def propose(self, proposed: ReplicaSet) -> None:
        """Write the set unless another process changed it first."""
        events.SET_PROPOSED.log(
            _LOGGER,
            revision=proposed.revision,
            members=[one.vm for one in proposed.members],
            joining=[one.vm for one in proposed.joining],
        )
        try:
            revision = await self.store.put(
                SET_KEY,
                proposed.to_text().encode(),
                expected_revision=proposed.revision,
            )
        except StoreConflictError:
            events.SET_LOST_RACE.log(_LOGGER, revision=proposed.revision)
            return
        self.listener.holder.adopt(evolve(proposed, revision=revision))

    async def report_retiring(self) -> None:
        """Report the progress of retiring VMs, if this disk ranks first."""
        member_vms = {one.vm for one in self.listener.holder.current.replicas()}
        retiring = sorted(self.board.retiring())
        while retiring and self.rank() == 0:
            vm = retiring.pop()
            await self.board.report(vm, done=vm not in member_vms)
