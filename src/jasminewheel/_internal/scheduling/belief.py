"""Believe which prompt prefixes a runner still has in its cache."""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field, frozen

from jasminewheel._internal.scheduling.request import Block

RUNNER_BLOCK_LIMIT = 20_000
FRESH_TRUST = 0.98
LOWEST_TRUST = 0.2
TRUST_STEP = 0.1
HALF_LIFE_SECONDS = 600
# One missing event may be an eviction of anything.
GAP_TRUST = 0.95
MOST_GAPS = 20


@frozen
class CacheEvent:
    """Hold one cache event of an engine's feed."""

    seq: int
    kind: str
    block: str
    tokens: int


@frozen
class Held:
    """Say how much of a prompt a runner is believed to hold."""

    tokens: int
    trust: float
    age_seconds: float

    @property
    def expected_tokens(self) -> float:
        """Return the tokens that are likely found cached."""
        return self.tokens * self.trust


NOTHING_HELD = Held(0, 0, 0)


@define(eq=False)
class _Belief:
    seen_at: float
    stored_then: int
    gaps_then: int


@define(eq=False)
class RunnerBelief:
    """Keep the believed blocks of one runner, oldest use first."""

    blocks: OrderedDict[str, _Belief] = field(factory=OrderedDict)
    next_seq: int | None = None
    gaps: int = 0
    stored_tokens: int = 0
    capacity_tokens: int = 0
    accuracy: float = FRESH_TRUST

    def observe(self, event: CacheEvent, now: float) -> None:
        """Take in an event; count the ones missing before it."""
        if self.next_seq is not None and event.seq > self.next_seq:
            self.gaps += event.seq - self.next_seq
        self.next_seq = max(self.next_seq or 0, event.seq + 1)
        if event.kind == 'evicted':
            self.blocks.pop(event.block, None)
            return
        if event.block not in self.blocks:
            self.stored_tokens += event.tokens
        self.touch(event.block, now)

    def touch(self, block: str, now: float) -> None:
        """Believe that the block was in the cache just now."""
        self.blocks[block] = _Belief(now, self.stored_tokens, self.gaps)
        self.blocks.move_to_end(block)
        if len(self.blocks) > RUNNER_BLOCK_LIMIT:
            self.blocks.popitem(last=False)

    def learn(self, expected_tokens: int, cached_tokens: int) -> None:
        """Move the trust towards what a finished call found."""
        if expected_tokens <= 0:
            return
        found = min(1, cached_tokens / expected_tokens)
        self.accuracy += TRUST_STEP * (found - self.accuracy)
        self.accuracy = min(FRESH_TRUST, max(LOWEST_TRUST, self.accuracy))

    def trust(self, block: str, now: float) -> float:
        """Return how likely the block is still held, 0 if unknown."""
        belief = self.blocks.get(block)
        if belief is None:
            return 0
        stored_since = self.stored_tokens - belief.stored_then
        if self.capacity_tokens and stored_since > self.capacity_tokens:
            # The engine drops what was used least recently, so all of the
            # cache has been replaced since.
            return 0
        missed = self.gaps - belief.gaps_then
        faded = 0.5 ** ((now - belief.seen_at) / HALF_LIFE_SECONDS)
        return self.accuracy * faded * GAP_TRUST ** min(missed, MOST_GAPS)

    def held(self, blocks: Sequence[Block], now: float) -> Held:
        """Return the longest prefix of the blocks believed held."""
        remaining = sum(block.tokens for block in blocks)
        for block in reversed(blocks):
            trust = self.trust(block.block, now)
            if trust:
                seen_at = self.blocks[block.block].seen_at
                return Held(remaining, trust, now - seen_at)
            remaining -= block.tokens
        return NOTHING_HELD
