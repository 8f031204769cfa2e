"""Keep the replica set in the store fit for the disks that live."""

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
from jasminewheel._internal.store.leased_key import LeasedKey
from jasminewheel._internal.store.port import WatchedStore
from jasminewheel.errors import (
    JasminewheelError,
    StoreConflictError,
)

LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
CHECK_SECONDS = 0.25
# Disks propose changes in turn, so that one of them usually does.
TURN_SECONDS = 0.4
_LOGGER = logging.getLogger(__name__)


class RetireBoard(Protocol):
    """Hold which VMs are to be emptied, and report on them."""

    def retiring(self) -> frozenset[str]:
        """Return the VMs that are to be emptied."""

    async def report(self, vm: str, *, done: bool) -> None:
        """Report that a VM is being emptied, or is empty."""


@define(eq=False)
class DiskRegistration:
    """Keep this disk listed while its process lives."""

    store: WatchedStore
    candidate: Candidate
    listing: LeasedKey = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Be ready to list the disk."""
        self.listing = LeasedKey(
            self.store,
            DISK_PREFIX + self.candidate.replica.vm,
            self.text(),
            LEASE_SECONDS,
            RENEW_SECONDS,
        )

    async def note_copied(self, revision: int) -> None:
        """List the disk as one that copied for a change."""
        self.candidate = evolve(self.candidate, copied_revision=revision)
        await self.listing.rewrite(self.text())

    def text(self) -> bytes:
        """Return the disk as it is listed."""
        fields = {
            'replica': asdict(self.candidate.replica),
            'copied_revision': self.candidate.copied_revision,
        }
        return json.dumps(fields).encode()


@define(eq=False)
class SetKeeper:
    """Propose changes of the replica set, and copy when this disk joins."""

    store: WatchedStore
    listener: SetListener
    registration: DiskRegistration
    catch_up: CatchUp
    board: RetireBoard
    wanted_size: int
    may_form: bool
    started_at: float
    due_since: float | None = None

    @property
    def own(self) -> Replica:
        """Return this disk."""
        return self.registration.candidate.replica

    async def run(self) -> None:
        """Look for the next step until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            try:
                await self.step(trio.current_time())
            except JasminewheelError as error:
                _LOGGER.info('step of the replica set put off: %s', error)

    async def step(self, now: float) -> None:
        """Copy, propose or report, as the view asks for."""
        current = self.listener.holder.current
        copied = self.registration.candidate.copied_revision
        if self.own in current.newcomers() and copied != current.revision:
            await self.catch_up.run(current)
            await self.registration.note_copied(current.revision)
        proposed = next_set(self.view(), now)
        if proposed is None:
            self.due_since = None
        elif self.is_own_turn(now):
            await self.propose(proposed)
        await self.report_retired()

    def view(self) -> SetView:
        """Return what decides the next step."""
        return SetView(
            replica_set=self.listener.holder.current,
            candidates=self.listener.candidates,
            absent_since=self.listener.absent_since,
            retiring=self.board.retiring(),
            wanted_size=self.wanted_size,
            may_form=self.may_form,
            started_at=self.started_at,
        )

    def is_own_turn(self, now: float) -> bool:
        """Tell whether this disk is the one to propose by now."""
        if self.due_since is None:
            self.due_since = now
        return now - self.due_since >= self.rank() * TURN_SECONDS

    def rank(self) -> int:
        """Return how many live disks come before this one."""
        live = sorted(self.listener.candidates)
        return live.index(self.own.vm) if self.own.vm in live else len(live)

    async def propose(self, proposed: ReplicaSet) -> None:
        """Write the set unless another change came first."""
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

    async def report_retired(self) -> None:
        """Report on VMs that are to be emptied, in turn."""
        taken = {one.vm for one in self.listener.holder.current.replicas()}
        retiring = sorted(self.board.retiring())
        while retiring and self.rank() == 0:
            vm = retiring.pop()
            await self.board.report(vm, done=vm not in taken)
