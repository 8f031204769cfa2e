"""Believe which prompt prefixes each runner still has in its cache."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

from attrs import define, field, frozen

from jasminewheel._internal.targets.engine import CacheEvent
from jasminewheel._internal.targets.prefix import PrefixBlock

MAX_BLOCKS = 50_000
# Of a long prompt only its ends are kept: the shared start, and the blocks
# that are evicted first.
SHARED_BLOCKS = 2
LATEST_BLOCKS = 8
MAX_CONFIDENCE = 0.98
MIN_CONFIDENCE = 0.2
SMOOTHING_FACTOR = 0.1
HALF_LIFE_SECONDS = 600
# One missing event may be an eviction of anything.
GAP_CONFIDENCE_FACTOR = 0.95
MAX_COUNTED_GAPS = 20


@frozen
class Held:
    """Say how much of a prompt a runner is believed to hold."""

    tokens: int
    trust: float
    age_seconds: float
    block: str = ''

    @property
    def expected_tokens(self) -> float:
        """Return the tokens that are likely found cached."""
        return self.tokens * self.trust


NOTHING_HELD = Held(0, 0, 0)


@define(eq=False)
class CacheState:
    """Hold what is known of one runner's cache as a whole."""

    next_sequence: int | None = None
    gaps: int = 0
    stored_tokens: int = 0
    used_tokens: int = 0
    capacity_tokens: int = 0
    accuracy: float = MAX_CONFIDENCE

    def observe(self, event: CacheEvent) -> None:
        """Count the events missing before this one and what was stored."""
        expected = self.next_sequence
        if expected is not None and event.sequence > expected:
            self.gaps += event.sequence - expected
        self.next_sequence = max(expected or 0, event.sequence + 1)
        if event.kind == 'stored':
            self.stored_tokens += event.tokens

    def learn(self, expected_tokens: int, cached_tokens: int) -> None:
        """Move the trust towards what a finished call found."""
        if expected_tokens <= 0:
            return
        found = min(1, cached_tokens / expected_tokens)
        self.accuracy += SMOOTHING_FACTOR * (found - self.accuracy)
        self.accuracy = min(MAX_CONFIDENCE, max(MIN_CONFIDENCE, self.accuracy))


@define(eq=False)
class _Sighting:
    seen_at: float
    stored_then: int
    gaps_then: int

    def trust(
        self, cache: CacheState, now: float, half_life_seconds: float
    ) -> float:
        """Return how likely the block is still held."""
        stored_since = cache.stored_tokens - self.stored_then
        if cache.capacity_tokens and stored_since > cache.capacity_tokens:
            # The engine drops what was used least recently, so all of the
            # cache has been replaced since.
            return 0
        missed = min(cache.gaps - self.gaps_then, MAX_COUNTED_GAPS)
        faded = 0.5 ** ((now - self.seen_at) / half_life_seconds)
        return cache.accuracy * faded * GAP_CONFIDENCE_FACTOR**missed


@define(eq=False)
class PrefixIndex:
    """Keep the runners believed to hold each block that was asked for.

    Events of blocks that this entry never asked for are only counted, so the
    index grows with the entry's programs and not with the fleet.
    """

    block_limit: int = MAX_BLOCKS
    half_life_seconds: float = HALF_LIFE_SECONDS
    caches: dict[str, CacheState] = field(factory=dict)
    blocks: OrderedDict[str, dict[str, _Sighting]] = field(factory=OrderedDict)

    def cache(self, runner: str) -> CacheState:
        """Return the state of a runner's cache, new if unknown."""
        found = self.caches.get(runner)
        if found is None:
            found = CacheState()
            self.caches[runner] = found
        return found

    def observe(self, runner: str, event: CacheEvent, now: float) -> None:
        """Take in an event of a runner's feed."""
        cache = self.cache(runner)
        cache.observe(event)
        holders = self.blocks.get(event.block)
        if holders is None:
            return
        if event.kind == 'evicted':
            holders.pop(runner, None)
        else:
            holders[runner] = _sight(cache, now)

    def touch(
        self, runner: str, blocks: Sequence[PrefixBlock], now: float
    ) -> None:
        """Believe that the runner holds the blocks now."""
        sighting = _sight(self.cache(runner), now)
        for block in _ends(blocks):
            holders = self.blocks.setdefault(block.block, {})
            holders[runner] = sighting
            self.blocks.move_to_end(block.block)
        while len(self.blocks) > self.block_limit:
            self.blocks.popitem(last=False)

    def drop(self, blocks: Sequence[PrefixBlock]) -> None:
        """Forget the blocks that only one ended program used."""
        for block in blocks[SHARED_BLOCKS:]:
            self.blocks.pop(block.block, None)

    def forget(self, runner: str) -> None:
        """Forget a runner that left or lost its memory."""
        self.caches.pop(runner, None)
        for holders in self.blocks.values():
            holders.pop(runner, None)

    def holders(
        self, blocks: Sequence[PrefixBlock], now: float
    ) -> Iterator[tuple[str, Held]]:
        """Yield runners with what each holds, the longest prefix first."""
        remaining = sum(block.tokens for block in blocks)
        seen: set[str] = set()
        for block in reversed(blocks):
            holders = self.blocks.get(block.block)
            if holders:
                yield from self._new_holders(
                    holders, seen, _Prefix(block.block, remaining), now
                )
            remaining -= block.tokens

    def held_start(
        self, runner: str, blocks: Sequence[PrefixBlock], now: float
    ) -> Held:
        """Return what a runner holds of the start that programs share."""
        tokens = 0
        held = NOTHING_HELD
        for block in blocks[:SHARED_BLOCKS]:
            tokens += block.tokens
            sighting = self.blocks.get(block.block, {}).get(runner)
            if sighting:
                prefix = _Prefix(block.block, tokens)
                held = self._held(runner, sighting, prefix, now)
        return held

    def _new_holders(
        self,
        holders: dict[str, _Sighting],
        seen: set[str],
        prefix: '_Prefix',
        now: float,
    ) -> Iterator[tuple[str, Held]]:
        for runner, sighting in holders.items():
            if runner in seen:
                continue
            held = self._held(runner, sighting, prefix, now)
            if held.trust:
                seen.add(runner)
                yield runner, held

    def _held(
        self, runner: str, sighting: _Sighting, prefix: '_Prefix', now: float
    ) -> Held:
        trust = sighting.trust(self.cache(runner), now, self.half_life_seconds)
        age = now - sighting.seen_at
        return Held(prefix.tokens, trust, age, prefix.block)


@frozen
class _Prefix:
    block: str
    tokens: int


def _sight(cache: CacheState, now: float) -> _Sighting:
    return _Sighting(now, cache.stored_tokens, cache.gaps)


def _ends(blocks: Sequence[PrefixBlock]) -> Sequence[PrefixBlock]:
    if len(blocks) <= SHARED_BLOCKS + LATEST_BLOCKS:
        return blocks
    return (*blocks[:SHARED_BLOCKS], *blocks[-LATEST_BLOCKS:])
