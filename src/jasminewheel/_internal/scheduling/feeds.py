"""Follow the feeds of all runners to keep the scheduler's view current."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

import trio
from attrs import frozen

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.events import scheduling as events
from jasminewheel._internal.targets.engine import (
    CacheEvent,
    EngineClient,
    LoadReport,
)
from jasminewheel.errors import CallError

LOGGER = logging.getLogger(__name__)
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5


class FeedObserver(Protocol):
    """Receive load reports and cache events of runners."""

    def observe_load(self, runner: str, report: LoadReport, now: float) -> None:
        """Apply a load report."""

    def observe_cache(self, runner: str, event: CacheEvent, now: float) -> None:
        """Apply a cache event."""

    def forget_runner(self, runner: str) -> None:
        """Discard the state of a runner."""


@frozen
class FeedSource:
    """Identify the feed of a runner."""

    runner: str
    url: str


def feed_sources(snapshot: Snapshot) -> frozenset[FeedSource]:
    """Return the runners of all targets."""
    return frozenset(
        FeedSource(runner.name, runner.url)
        for target in snapshot.targets.values()
        for runner in target.runners
    )


class FeedReader:
    """Read the feed of one runner."""

    def __init__(
        self,
        source: FeedSource,
        observer: FeedObserver,
        clock: Callable[[], float],
    ) -> None:
        """Report to the observer."""
        self.source = source
        self.observer = observer
        self.clock = clock
        self.backoff_seconds = MIN_BACKOFF_SECONDS

    async def run(self) -> None:
        """Read until cancelled; reconnect with backoff after each break."""
        while True:
            try:
                await self._read()
            except CallError as error:
                runner = self.source.runner
                events.FEED_BROKEN.log(LOGGER, runner=runner, error=error)
            await trio.sleep(self.backoff_seconds)
            self.backoff_seconds = min(
                2 * self.backoff_seconds, MAX_BACKOFF_SECONDS
            )

    async def _read(self) -> None:
        # A replaced engine restarts its event numbers, so the feed is read
        # from the start after each break.
        async with EngineClient(self.source.url) as client:
            async with client.feed(0) as feed:
                async for event in feed:
                    self._observe(event)

    def _observe(self, event: CacheEvent | LoadReport) -> None:
        self.backoff_seconds = MIN_BACKOFF_SECONDS
        now = self.clock()
        runner = self.source.runner
        if isinstance(event, LoadReport):
            self.observer.observe_load(runner, event, now)
        else:
            self.observer.observe_cache(runner, event, now)


class FeedFollower:
    """Run one reader task for each runner in the configuration."""

    def __init__(
        self,
        configuration: ConfigurationView,
        observer: FeedObserver,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Report to the observer; clock returns Unix time in seconds."""
        self.configuration = configuration
        self.observer = observer
        self.clock = clock
        self.scopes: dict[FeedSource, trio.CancelScope] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            snapshot = self.configuration.current
            while True:
                self._follow(feed_sources(snapshot), nursery)
                snapshot = await self.configuration.changed(snapshot.version)

    def _follow(
        self, sources: frozenset[FeedSource], nursery: trio.Nursery
    ) -> None:
        for source in self.scopes.keys() - sources:
            self.scopes.pop(source).cancel()
            self.observer.forget_runner(source.runner)
        for source in sources - self.scopes.keys():
            scope = trio.CancelScope()
            self.scopes[source] = scope
            nursery.start_soon(self._follow_one, source, scope)

    async def _follow_one(
        self, source: FeedSource, scope: trio.CancelScope
    ) -> None:
        reader = FeedReader(source, self.observer, self.clock)
        with scope:
            await reader.run()
