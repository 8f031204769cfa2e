"""Compact the log: free the space of records that are no longer live."""

import logging

import trio
from attrs import frozen

from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.segments import Segment
from jasminewheel._internal.events import conversation as events
from jasminewheel.errors import DiskFullError

CHECK_INTERVAL_SECONDS = 5.0
# Records moved per write group; a concurrent commit waits for at most these.
MOVE_BATCH_RECORDS = 32
_LOGGER = logging.getLogger(__name__)


@frozen
class LogCleaner:
    """Move live records out of old segments in small batches."""

    journal: Journal

    async def run(self) -> None:
        """Compact at intervals until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                await self.clean_all()
            except (DiskFullError, OSError) as error:
                events.CLEANING_FAILED.log(_LOGGER, problem=repr(error))

    async def clean_all(self) -> None:
        """Remove all closed segments of which at most half is live."""
        segment = self.journal.log.find_compactable(self.journal.state)
        while segment:
            await self.clean(segment)
            segment = self.journal.log.find_compactable(self.journal.state)

    async def clean(self, segment: Segment) -> None:
        """Move the live records to the newest segment, then remove this one."""
        live = segment.live_records(self.journal.state)
        moved = len(live)
        while live:
            await self.journal.move(*live[:MOVE_BATCH_RECORDS])
            live = live[MOVE_BATCH_RECORDS:]
        await self.journal.remove(segment)
        events.FILE_CLEANED.log(
            _LOGGER,
            file=segment.number,
            file_bytes=segment.stored_bytes,
            moved=moved,
            log_bytes=self.journal.log.stored_bytes,
        )
