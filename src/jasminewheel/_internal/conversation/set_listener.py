"""Learn the replica set and the live disks from the store's items."""

import json
import logging
from collections.abc import Mapping

import trio
from attrs import define, field

from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.conversation.set_change import Candidate
from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.port import StoreItem

OWN_PREFIX = 'jasminewheel/'
SET_KEY = f'{OWN_PREFIX}replicas'
DISK_PREFIX = f'{OWN_PREFIX}disks/'
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class SetListener(MirrorListener):
    """Decode the replica set and the live disks from the store's items."""

    holder: SetHolder = field(factory=SetHolder)
    candidates: dict[str, Candidate] = field(factory=dict)
    absent_since: dict[str, float] = field(factory=dict)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Take the changed keys of the product."""
        if SET_KEY in keys and SET_KEY in items:
            self.take_set(items[SET_KEY])
        for key in keys:
            if key.startswith(DISK_PREFIX):
                self.take_disk(key.removeprefix(DISK_PREFIX), items.get(key))
        self.note_absent(trio.current_time())

    def take_set(self, stored: StoreItem) -> None:
        """Adopt a stored replica set."""
        try:
            found = ReplicaSet.from_text(stored.value.decode(), stored.revision)
        except ValueError as error:
            _LOGGER.warning('replica set skipped: %s', error)
            return
        self.holder.adopt(found)

    def take_disk(self, vm: str, stored: StoreItem | None) -> None:
        """Take or forget the disk of a VM."""
        self.candidates.pop(vm, None)
        if stored is None:
            return
        try:
            self.candidates[vm] = _candidate(stored.value)
        except (ValueError, KeyError, TypeError) as error:
            _LOGGER.warning('disk of %s skipped: %r', vm, error)

    def note_absent(self, now: float) -> None:
        """Remember since when replicas are not seen."""
        live = {one.replica.disk_id for one in self.candidates.values()}
        wanted = {one.disk_id for one in self.holder.current.replicas()}
        self.absent_since = {
            disk_id: self.absent_since.get(disk_id, now)
            for disk_id in wanted - live
        }

    def store_unavailable(self) -> None:
        """Forget absences: without the store nobody is seen."""
        self.absent_since = {}

    def store_available(self) -> None:
        """Count absences from now on."""
        self.note_absent(trio.current_time())


def _candidate(stored: bytes) -> Candidate:
    fields = json.loads(stored)
    return Candidate(
        Replica(**fields['replica']), int(fields['copied_revision'])
    )
