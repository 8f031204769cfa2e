"""Read entries in worker threads."""

import logging
from collections.abc import Callable
from typing import Any

import trio
from attrs import frozen

from jasminewheel._internal.events import history as events
from jasminewheel._internal.history.disk import DiskLog
from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.history.records import entry_to_wire
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import DamagedError

PAGE_BYTES = 1048576
_LOGGER = logging.getLogger(__name__)


@frozen
class DiskReader:
    """Read entries by position and report damaged ones."""

    disk: DiskLog

    async def in_thread(
        self,
        read: Callable[[list[int]], list[Any]],
        positions: list[int],
    ) -> list[Any]:
        """Read from disk in a worker thread."""
        if not positions:
            return []
        try:
            return await trio.to_thread.run_sync(read, positions)
        except DamagedError:
            events.ENTRY_DAMAGED.log(_LOGGER, folder=self.disk.folder)
            raise

    def read_entries(self, positions: list[int]) -> list[Entry]:
        """Return the entries at the positions."""
        return [self.disk.read(position) for position in positions]

    def read_heads(self, positions: list[int]) -> list[Entry]:
        """Return the heads of the entries at the positions."""
        return [self.disk.read_head(at) for at in positions]

    def read_page(self, positions: list[int]) -> list[wire.WireRecord]:
        """Return records for about one page and remove their positions."""
        records = []
        count = 0
        while positions and count < PAGE_BYTES:
            entry = self.disk.read(positions.pop(0))
            count += len(entry.payload)
            records.append(entry_to_wire(entry))
        return records
