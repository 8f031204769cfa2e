"""Publish cache events with delay and gaps, and load with a lag."""

from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from random import Random
from typing import Any

import trio
from attrs import define, field, frozen

from jasminewheel._internal.fakes.engine_cache import CacheChange
from jasminewheel._internal.http.sse import format_event

_MAX_ENTRIES = 20_000
_POLL_SECONDS = 0.02


@frozen
class FeedSettings:
    """Configure the delay, the loss and the period of the feed."""

    delay_seconds: float = 0.05
    drop_probability: float = 0
    load_period_seconds: float = 0.1
    load_lag_seconds: float = 0.1


@frozen
class _Entry:
    sequence: int
    visible_at: float
    change: CacheChange


@frozen
class _LoadSample:
    taken_at: float
    load: dict[str, Any]


@define
class Feed:
    """Publish cache changes and load samples after a delay."""

    settings: FeedSettings
    read_load: Callable[[], dict[str, Any]]
    sequence: int = 0
    entries: deque[_Entry] = field(
        factory=lambda: deque(maxlen=_MAX_ENTRIES),
    )
    samples: deque[_LoadSample] = field(factory=deque)
    random: Random = field(factory=lambda: Random(0))

    def publish(self, changes: Iterable[CacheChange], now: float) -> None:
        """Number the changes and drop some of them at random."""
        visible_at = now + self.settings.delay_seconds
        for change in changes:
            self.sequence += 1
            if self.random.random() >= self.settings.drop_probability:
                entry = _Entry(self.sequence, visible_at, change)
                self.entries.append(entry)

    async def run(self) -> None:
        """Sample the load periodically."""
        while True:
            now = trio.current_time()
            self.samples.append(_LoadSample(now, self.read_load()))
            while (
                self.samples[0].taken_at < now - 2 * self.max_sample_age_seconds
            ):
                self.samples.popleft()
            await trio.sleep(self.settings.load_period_seconds)

    @property
    def max_sample_age_seconds(self) -> float:
        """Return the greatest age of a published sample, in seconds."""
        settings = self.settings
        return settings.load_lag_seconds + settings.load_period_seconds

    def load(self, now: float) -> dict[str, Any] | None:
        """Return the newest load sample that is older than the lag."""
        latest = now - self.settings.load_lag_seconds
        seen = [one.load for one in self.samples if one.taken_at <= latest]
        return seen[-1] if seen else None

    def entries_from(self, start: int, now: float) -> list[_Entry]:
        """Return the visible entries from a sequence number onwards."""
        if not self.entries or self.entries[-1].sequence < start:
            return []
        return [
            entry
            for entry in self.entries
            if entry.sequence >= start and entry.visible_at <= now
        ]

    async def events(self, start: int) -> AsyncIterator[bytes]:
        """Yield load events, and cache events from a sequence number."""
        next_load_at = trio.current_time()
        while True:
            now = trio.current_time()
            for entry in self.entries_from(start, now):
                start = entry.sequence + 1
                yield _cache_event(entry)
            if now >= next_load_at:
                next_load_at = now + self.settings.load_period_seconds
                load = self.load(now)
                if load:
                    yield format_event('load', load)
            await trio.sleep(_POLL_SECONDS)


def _cache_event(entry: _Entry) -> bytes:
    return format_event(
        'cache',
        {
            'seq': entry.sequence,
            'kind': entry.change.kind,
            'block': entry.change.block,
            'tokens': entry.change.tokens,
        },
    )
