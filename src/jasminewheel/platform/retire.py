"""Read which VMs operators want to retire, and report when each is empty.

What the platform retires is a VM; only its disk is emptied here.
"""

import json
import logging
from collections.abc import Mapping

from attrs import define, field, frozen

from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.store.documents import (
    DECODE_ERRORS,
    decode_document,
    text_field,
)
from jasminewheel._internal.store.key_writer import KeyWriter
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.port import StoreItem, WatchedStore
from jasminewheel.errors import StoreConflictError

_REQUEST_PREFIX = 'op/retire/'
_STATUS_PREFIX = 'status/retire/'
_RUNNING = 'running'
_COMPLETED = 'completed'
_LOGGER = logging.getLogger(__name__)


@frozen
class RetireStatus:
    """Represent what is stored of the progress of a VM."""

    # Empty if nothing readable is stored.
    state: str = ''
    # 0 if nothing is stored.
    revision: int = 0


@define(eq=False)
class PlatformRetireBoard(MirrorListener):
    """Track the VMs to retire and the progress that is stored of each.

    Several processes report in turn. Each status is written under the revision
    of the one before it, so that none of them undoes a newer one.
    """

    store: WatchedStore
    # The revision of each request, by VM.
    requested: dict[str, int] = field(factory=dict)
    # The newest status known of each VM, which may be of a former request.
    stored: dict[str, RetireStatus] = field(factory=dict)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Apply the changed keys."""
        for key in keys:
            if key.startswith(_REQUEST_PREFIX):
                vm = key.removeprefix(_REQUEST_PREFIX)
                self.apply_request(vm, items.get(key))
            elif key.startswith(_STATUS_PREFIX):
                vm = key.removeprefix(_STATUS_PREFIX)
                self.apply_status(vm, items.get(key))

    def apply_request(self, vm: str, found: StoreItem | None) -> None:
        """Add, renew or remove the request to retire a VM."""
        self.requested.pop(vm, None)
        if found:
            self.requested[vm] = found.revision

    def apply_status(self, vm: str, found: StoreItem | None) -> None:
        """Apply a status unless a newer one is known."""
        if found is None:
            self.stored.pop(vm, None)
        elif found.revision >= self.status(vm).revision:
            self.stored[vm] = RetireStatus(_state(found.value), found.revision)

    def retiring(self) -> frozenset[str]:
        """Return the VMs to retire."""
        return frozenset(self.requested)

    def status(self, vm: str) -> RetireStatus:
        """Return the newest status known of a VM."""
        return self.stored.get(vm, RetireStatus())

    async def report(self, vm: str, *, done: bool) -> None:
        """Report that a VM's disk is being emptied, or is empty."""
        state = _COMPLETED if done else _RUNNING
        if self.is_reported(vm, state):
            return
        writer = KeyWriter(
            self.store, _STATUS_PREFIX + vm, self.status(vm).revision
        )
        try:
            revision = await writer.put(json.dumps({'State': state}).encode())
        except StoreConflictError:
            await self.read_status(vm, writer)
            return
        self.stored[vm] = RetireStatus(state, revision)
        events.RETIRE_STATUS.log(_LOGGER, vm=vm, state=state)

    def is_reported(self, vm: str, state: str) -> bool:
        """Return whether this state, or the last one, is stored already.

        The operator may remove a VM once its state is completed, so no other
        state follows under the same request.
        """
        known = self.status(vm)
        is_current = known.revision > self.requested.get(vm, 0)
        return is_current and known.state in {state, _COMPLETED}

    async def read_status(self, vm: str, writer: KeyWriter) -> None:
        """Read the status that another process wrote, or this one before."""
        found = await writer.read()
        state = _state(found.value) if found else ''
        self.stored[vm] = RetireStatus(state, writer.revision)


def _state(stored: bytes) -> str:
    """Return the state of a stored status; empty if it can't be read."""
    try:
        return text_field(decode_document(stored), 'State')
    except DECODE_ERRORS:
        return ''
