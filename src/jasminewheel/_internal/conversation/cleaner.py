"""Give back the space of records that do not count any more."""

import logging

import trio
from attrs import frozen

from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.segments import Segment
from jasminewheel._internal.events import conversation as events
from jasminewheel.errors import DiskFullError

CHECK_INTERVAL_SECONDS = 5.0
# Records that are moved in one group; a commit beside it waits for so many.
MOVE_BATCH_RECORDS = 32
_LOGGER = logging.getLogger(__name__)


@frozen
class LogCleaner:
    """Move what still counts out of old files, a little at a time."""

    journal: Journal

    async def run(self) -> None:
        """Clean at each interval until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                await self.clean_all()
            except (DiskFullError, OSError) as error:
                events.CLEANING_FAILED.log(_LOGGER, problem=repr(error))

    async def clean_all(self) -> None:
        """Remove the files of which less than half still counts."""
        segment = self.journal.log.find_compactable(self.journal.state)
        while segment:
            await self.clean(segment)
            segment = self.journal.log.find_compactable(self.journal.state)

    async def clean(self, segment: Segment) -> None:
        """Move what still counts to the newest file, then remove this one."""
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
