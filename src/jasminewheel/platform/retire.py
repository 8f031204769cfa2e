"""Read which VMs operators want to retire, and report when each is empty.

What the platform retires is a VM; only its disk is emptied here.
"""

import json
import logging
from collections.abc import Mapping

from attrs import define, field

from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.port import StoreItem, WatchedStore

_REQUEST_PREFIX = 'op/retire/'
_STATUS_PREFIX = 'status/retire/'
_RUNNING = 'running'
_COMPLETED = 'completed'
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class PlatformRetireBoard(MirrorListener):
    """Track the VMs to retire and the progress that was reported of each."""

    store: WatchedStore
    requested: set[str] = field(factory=set)
    reported: dict[str, str] = field(factory=dict)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Apply the changed keys."""
        for key in keys:
            vm = key.removeprefix(_REQUEST_PREFIX)
            if vm != key and key in items:
                self.requested.add(vm)
            elif vm != key:
                self.requested.discard(vm)
                self.reported.pop(vm, None)

    def retiring(self) -> frozenset[str]:
        """Return the VMs to retire."""
        return frozenset(self.requested)

    async def report(self, vm: str, *, done: bool) -> None:
        """Report that a VM's disk is being emptied, or is empty."""
        state = _COMPLETED if done else _RUNNING
        if self.reported.get(vm) == state:
            return
        await self.store.put(
            _STATUS_PREFIX + vm, json.dumps({'State': state}).encode()
        )
        self.reported[vm] = state
        events.RETIRE_STATUS.log(_LOGGER, vm=vm, state=state)
