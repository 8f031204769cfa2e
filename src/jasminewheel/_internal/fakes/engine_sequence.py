"""Allocate cache blocks of the fake engine to running sequences."""

from collections import Counter
from collections.abc import Sequence as SequenceOf

from attrs import define, field

from jasminewheel._internal.fakes.engine_cache import PrefixCache
from jasminewheel._internal.targets.engine import EngineToken
from jasminewheel._internal.targets.prefix import PrefixBlock


@define(eq=False)
class Sequence:
    """Represent the progress of one request."""

    request_id: str
    priority: int
    order: int
    blocks: SequenceOf[PrefixBlock]
    tokens: SequenceOf[EngineToken]
    finish: str
    resumed_tokens: int = 0
    answer_block: PrefixBlock | None = None
    cached_tokens: int = 0
    remaining_prefill_tokens: int = 0
    position: int = 0
    held_blocks: int = 0
    has_started: bool = False
    is_cancelled: bool = False

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens in the prompt."""
        return sum(block.tokens for block in self.blocks)

    @property
    def private_tokens(self) -> int:
        """Return the number of answer tokens, which are not shared."""
        return self.position + self.resumed_tokens

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key: highest priority first, then by arrival."""
        return (-self.priority, self.order)


@define
class SequenceMemory:
    """Allocate and release the cache blocks of sequences."""

    cache: PrefixCache
    counts: Counter[str] = field(factory=Counter)

    def allocate(self, sequence: Sequence, other_tokens: int) -> bool:
        """Acquire all blocks of the sequence; return whether they fit."""
        blocks = sequence.blocks
        present = self.cache.cached_prefix(blocks)
        self.cache.acquire(blocks[:present])
        cached = sum(block.tokens for block in blocks[:present])
        missing = sequence.prompt_tokens - cached
        extra = other_tokens + sequence.private_tokens
        if not self.cache.make_room(missing + extra):
            self.cache.release(blocks[:present])
            return False
        self.store_missing(sequence, present)
        sequence.remaining_prefill_tokens = missing + sequence.private_tokens
        self.count_prompt(sequence, cached)
        return True

    def store_missing(self, sequence: Sequence, present: int) -> None:
        """Store and acquire the blocks that the cache lacks."""
        blocks = sequence.blocks
        parent = blocks[present - 1].block if present else ''
        for block in blocks[present:]:
            self.cache.store(block, parent)
            self.cache.blocks[block.block].users += 1
            parent = block.block
        sequence.held_blocks = len(blocks)

    def count_prompt(self, sequence: Sequence, cached: int) -> None:
        """Count prompt tokens at the first start, later ones as recomputed."""
        if sequence.has_started:
            self.counts['recomputed_tokens'] += (
                sequence.remaining_prefill_tokens
            )
            return
        sequence.has_started = True
        sequence.cached_tokens = cached
        self.counts['prompt_tokens'] += sequence.prompt_tokens
        self.counts['cached_tokens'] += cached
        self.counts['recomputed_tokens'] += sequence.resumed_tokens

    def cache_answer(self, sequence: Sequence, other_tokens: int) -> None:
        """Store the answer as a block, if it fits."""
        block = sequence.answer_block
        if block and self.cache.make_room(block.tokens + other_tokens):
            parent = sequence.blocks[-1].block if sequence.blocks else ''
            self.cache.store(block, parent, is_prompt=False)

    def release(self, sequence: Sequence) -> None:
        """Release the sequence's blocks."""
        self.cache.release(sequence.blocks[: sequence.held_blocks])
        sequence.held_blocks = 0
