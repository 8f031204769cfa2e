"""Estimate which prompt prefixes are still cached at each runner."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

from attrs import define, field, frozen

from jasminewheel._internal.targets.engine import CacheEvent
from jasminewheel._internal.targets.prefix import PrefixBlock

MAX_BLOCKS = 50_000
# Of a long prompt only both ends are indexed: the start that programs share,
# and the last blocks, which engines evict first.
SHARED_BLOCKS = 2
LATEST_BLOCKS = 8
MAX_CONFIDENCE = 0.98
MIN_CONFIDENCE = 0.2
SMOOTHING_FACTOR = 0.1
HALF_LIFE_SECONDS = 600
# A missed event may have been the eviction of any block.
GAP_CONFIDENCE_FACTOR = 0.95
MAX_COUNTED_GAPS = 20


@frozen
class CachedPrefix:
    """Represent the part of a prompt that is probably cached at a runner."""

    tokens: int
    confidence: float
    age_seconds: float
    block: str = ''

    @property
    def expected_tokens(self) -> float:
        """Return the expected number of cached tokens."""
        return self.tokens * self.confidence


NO_CACHED_PREFIX = CachedPrefix(0, 0, 0)


@define(eq=False)
class CacheState:
    """Represent the state of one runner's cache as a whole."""

    next_sequence: int | None = None
    gaps: int = 0
    stored_tokens: int = 0
    used_tokens: int = 0
    capacity_tokens: int = 0
    accuracy: float = MAX_CONFIDENCE

    def observe(self, event: CacheEvent) -> None:
        """Count the events missed before this one and the tokens stored."""
        expected = self.next_sequence
        if expected is not None and event.sequence > expected:
            self.gaps += event.sequence - expected
        self.next_sequence = max(expected or 0, event.sequence + 1)
        if event.kind == 'stored':
            self.stored_tokens += event.tokens

    def learn(self, expected_tokens: int, cached_tokens: int) -> None:
        """Move the accuracy towards the cached share of a finished call."""
        if expected_tokens <= 0:
            return
        found = min(1, cached_tokens / expected_tokens)
        self.accuracy += SMOOTHING_FACTOR * (found - self.accuracy)
        self.accuracy = min(MAX_CONFIDENCE, max(MIN_CONFIDENCE, self.accuracy))


@define(eq=False)
class _BlockRecord:
    confirmed_at: float
    initial_stored_tokens: int
    initial_gaps: int

    def confidence(
        self, cache: CacheState, now: float, half_life_seconds: float
    ) -> float:
        """Return the probability that the block is still cached."""
        stored_since = cache.stored_tokens - self.initial_stored_tokens
        if cache.capacity_tokens and stored_since > cache.capacity_tokens:
            # The engine evicts the least recently used blocks first, so the
            # whole cache has been replaced since.
            return 0
        missed_events = min(cache.gaps - self.initial_gaps, MAX_COUNTED_GAPS)
        age_factor = 0.5 ** ((now - self.confirmed_at) / half_life_seconds)
        return (
            cache.accuracy * age_factor * GAP_CONFIDENCE_FACTOR**missed_events
        )


@define(eq=False)
class PrefixIndex:
    """Index the runners that probably have each requested block cached.

    Events of blocks that this entry never requested are only counted, so the
    index grows with the entry's programs and not with the fleet.
    """

    max_blocks: int = MAX_BLOCKS
    half_life_seconds: float = HALF_LIFE_SECONDS
    caches: dict[str, CacheState] = field(factory=dict)
    blocks: OrderedDict[str, dict[str, _BlockRecord]] = field(
        factory=OrderedDict
    )

    def cache(self, runner: str) -> CacheState:
        """Return the state of a runner's cache, created if absent."""
        found = self.caches.get(runner)
        if found is None:
            found = CacheState()
            self.caches[runner] = found
        return found

    def observe(self, runner: str, event: CacheEvent, now: float) -> None:
        """Apply an event of a runner's feed."""
        cache = self.cache(runner)
        cache.observe(event)
        records = self.blocks.get(event.block)
        if records is None:
            return
        if event.kind == 'evicted':
            records.pop(runner, None)
        else:
            records[runner] = _new_record(cache, now)

    def touch(
        self, runner: str, blocks: Sequence[PrefixBlock], now: float
    ) -> None:
        """Record that the blocks are cached at the runner now."""
        record = _new_record(self.cache(runner), now)
        for block in _indexed_blocks(blocks):
            records = self.blocks.setdefault(block.block, {})
            records[runner] = record
            self.blocks.move_to_end(block.block)
        while len(self.blocks) > self.max_blocks:
            self.blocks.popitem(last=False)

    def drop(self, blocks: Sequence[PrefixBlock]) -> None:
        """Remove the blocks that only one ended program used."""
        for block in blocks[SHARED_BLOCKS:]:
            self.blocks.pop(block.block, None)

    def forget(self, runner: str) -> None:
        """Remove a runner that left or lost its memory."""
        self.caches.pop(runner, None)
        for records in self.blocks.values():
            records.pop(runner, None)

    def find_prefixes(
        self, blocks: Sequence[PrefixBlock], now: float
    ) -> Iterator[tuple[str, CachedPrefix]]:
        """Yield runners with their cached prefixes, the longest first."""
        remaining = sum(block.tokens for block in blocks)
        seen: set[str] = set()
        for block in reversed(blocks):
            records = self.blocks.get(block.block)
            if records:
                yield from self._new_prefixes(
                    records, seen, _Prefix(block.block, remaining), now
                )
            remaining -= block.tokens

    def find_shared_prefix(
        self, runner: str, blocks: Sequence[PrefixBlock], now: float
    ) -> CachedPrefix:
        """Return the cached part of the start that programs share."""
        tokens = 0
        cached_prefix = NO_CACHED_PREFIX
        for block in blocks[:SHARED_BLOCKS]:
            tokens += block.tokens
            record = self.blocks.get(block.block, {}).get(runner)
            if record:
                prefix = _Prefix(block.block, tokens)
                cached_prefix = self._estimate_prefix(
                    runner, record, prefix, now
                )
        return cached_prefix

    def _new_prefixes(
        self,
        records: dict[str, _BlockRecord],
        seen: set[str],
        prefix: '_Prefix',
        now: float,
    ) -> Iterator[tuple[str, CachedPrefix]]:
        for runner, record in records.items():
            if runner in seen:
                continue
            cached_prefix = self._estimate_prefix(runner, record, prefix, now)
            if cached_prefix.confidence:
                seen.add(runner)
                yield runner, cached_prefix

    def _estimate_prefix(
        self, runner: str, record: _BlockRecord, prefix: '_Prefix', now: float
    ) -> CachedPrefix:
        confidence = record.confidence(
            self.cache(runner), now, self.half_life_seconds
        )
        age = now - record.confirmed_at
        return CachedPrefix(prefix.tokens, confidence, age, prefix.block)


@frozen
class _Prefix:
    block: str
    tokens: int


def _new_record(cache: CacheState, now: float) -> _BlockRecord:
    return _BlockRecord(now, cache.stored_tokens, cache.gaps)


def _indexed_blocks(blocks: Sequence[PrefixBlock]) -> Sequence[PrefixBlock]:
    if len(blocks) <= SHARED_BLOCKS + LATEST_BLOCKS:
        return blocks
    return (*blocks[:SHARED_BLOCKS], *blocks[-LATEST_BLOCKS:])
