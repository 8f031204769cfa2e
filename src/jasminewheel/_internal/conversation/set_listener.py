"""Track the replica set and the listed disks from the store's items."""

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
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.documents import (
    DECODE_ERRORS,
    decode_document,
    problem_text,
    shortened,
    typed_field,
)
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.port import STORE_PREFIX, StoreItem

SET_KEY = f'{STORE_PREFIX}replicas'
DISK_PREFIX = f'{STORE_PREFIX}disks/'
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class SetListener(MirrorListener):
    """Decode the replica set and the listed disks from the store's items."""

    holder: SetHolder = field(factory=SetHolder)
    candidates: dict[str, Candidate] = field(factory=dict)
    absent_since: dict[str, float] = field(factory=dict)
    # How current the list of disks is.
    contact: StoreContact = field(factory=StoreContact)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Apply changed keys of the replica set and of disks."""
        if SET_KEY in keys and SET_KEY in items:
            self.apply_set(items[SET_KEY])
        for key in keys:
            if key.startswith(DISK_PREFIX):
                self.apply_disk(key.removeprefix(DISK_PREFIX), items.get(key))
        self.update_absences(trio.current_time())

    def apply_set(self, stored: StoreItem) -> None:
        """Decode and adopt a stored replica set; skip an invalid one."""
        try:
            found = ReplicaSet.from_text(stored.value.decode(), stored.revision)
        except DECODE_ERRORS as error:
            _LOGGER.warning(
                'skipped an invalid replica set: %s', problem_text(error)
            )
            return
        self.holder.adopt(found)

    def apply_disk(self, vm: str, stored: StoreItem | None) -> None:
        """Add, replace or remove the disk of a VM."""
        self.candidates.pop(vm, None)
        if stored is None:
            return
        try:
            self.candidates[vm] = _decode_candidate(stored.value)
        except DECODE_ERRORS as error:
            _LOGGER.warning(
                'skipped the invalid disk of %s: %s',
                shortened(vm),
                problem_text(error),
            )

    def update_absences(self, now: float) -> None:
        """Record since when replicas have not been listed."""
        live = {one.replica.disk_id for one in self.candidates.values()}
        wanted = {one.disk_id for one in self.holder.current.replicas()}
        self.absent_since = {
            disk_id: self.absent_since.get(disk_id, now)
            for disk_id in wanted - live
        }

    def store_unavailable(self) -> None:
        """Clear absences: without the store no listing is visible."""
        self.absent_since = {}

    def store_available(self) -> None:
        """Start counting absences from now."""
        self.update_absences(trio.current_time())


def _decode_candidate(stored: bytes) -> Candidate:
    fields = decode_document(stored)
    return Candidate(
        Replica.from_fields(fields['replica']),
        typed_field(fields, 'copied_revision', int),
    )
