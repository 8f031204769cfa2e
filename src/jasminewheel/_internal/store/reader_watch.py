"""Watch the store as a reader does, for the processes that follow it."""

from functools import partial

import trio
from attrs import define, evolve

from jasminewheel._internal.parallel import first_result
from jasminewheel._internal.store.large_changes import watch_store
from jasminewheel._internal.store.port import (
    ReadableStore,
    StoreChanges,
    StoreSnapshot,
)
from jasminewheel._internal.store.reader_choice import Reader
from jasminewheel._internal.store.reader_client import ReaderClient
from jasminewheel.errors import StoreUnavailableError

# The wait of a watch that is made again. A store may hold one without a wait
# for longer than its reply is waited for.
REPEATED_WATCH_SECONDS = 0.1
# With values of this size readers tell each other changes, too: the store
# sends each version whole to each of them.
SHARED_BYTES = 65536
# The pause before a reader without news is asked again.
NEWS_INTERVAL_SECONDS = 0.25


@define(eq=False)
class ReaderWatch:
    """Watch the store, and learn large values from other readers sooner."""

    store: ReadableStore
    client: ReaderClient
    follow_seconds: float

    async def snapshot(self) -> StoreSnapshot:
        """Return all values, of the store or of a reader that has them."""
        if not self.shares_changes():
            return await self.store.snapshot()
        return await first_result(self.store.snapshot, self.all_of_others)

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Watch the store, once more if the watch failed.

        The store may end a watch, and its connection may fall silent, at any
        time; only a second failure is a loss, of which all followers are told.
        """
        try:
            changes = await self.first_changes(after_revision, wait_seconds)
        except StoreUnavailableError:
            changes = await watch_store(
                self.store, after_revision, REPEATED_WATCH_SECONDS
            )
        self.client.missed_store = False
        return evolve(changes, watchers=self.client.readers.count())

    async def first_changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Watch the store; return sooner if another reader has news."""
        watch = partial(watch_store, self.store, after_revision, wait_seconds)
        if not self.shares_changes():
            return await watch()
        return await first_result(
            watch, partial(self.news_of_others, after_revision)
        )

    def shares_changes(self) -> bool:
        """Return whether values are so large that readers help each other."""
        return self.client.values.largest_bytes() >= SHARED_BYTES

    async def all_of_others(self) -> StoreSnapshot:
        """Wait for all values of another reader."""
        return as_snapshot(await self.news_of_others(0))

    async def news_of_others(self, after_revision: int) -> StoreChanges:
        """Wait until another reader knows changes after a revision."""
        others = self.client.readers.others()
        if not others:
            await trio.sleep_forever()
        return await first_result(
            *(partial(self.news_of, one, after_revision) for one in others)
        )

    async def news_of(
        self, reader: Reader, after_revision: int
    ) -> StoreChanges:
        """Wait until a reader knows changes after a revision."""
        news: StoreChanges | None = None
        while news is None:
            news = await self.client.news_of(
                reader, after_revision, self.follow_seconds
            )
            if news is None:
                await trio.sleep(NEWS_INTERVAL_SECONDS)
        return news


def as_snapshot(found: StoreChanges) -> StoreSnapshot:
    """Return changes that tell all values as a snapshot."""
    return StoreSnapshot(
        found.written,
        found.revision,
        proof_age_seconds=found.proof_age_seconds,
    )
