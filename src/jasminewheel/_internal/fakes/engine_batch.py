"""Batch sequences continuously, as the stand-in's engine does."""

from collections import Counter
from collections.abc import Sequence as SequenceOf

from attrs import define, field, frozen

from jasminewheel._internal.fakes.engine_cache import PrefixCache
from jasminewheel._internal.targets.engine import EngineToken
from jasminewheel._internal.targets.prefix import PrefixBlock

_PREFILL_CHUNK_TOKENS = 2048


@frozen
class EngineSpeed:
    """Set how long the parts of a step take."""

    step_seconds: float = 0.002
    prefill_seconds_per_token: float = 0.00005
    decode_seconds_per_sequence: float = 0.0005


@define(eq=False)
class Sequence:
    """Hold one request's progress."""

    request_id: str
    priority: int
    order: int
    blocks: SequenceOf[PrefixBlock]
    tokens: SequenceOf[EngineToken]
    finish: str
    resumed_tokens: int = 0
    answer_block: PrefixBlock | None = None
    cached_tokens: int = 0
    prefill_left: int = 0
    position: int = 0
    held_blocks: int = 0
    has_started: bool = False
    is_cancelled: bool = False

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(block.tokens for block in self.blocks)

    @property
    def private_tokens(self) -> int:
        """Return the tokens of the answer that only this sequence holds."""
        return self.position + self.resumed_tokens

    @property
    def rank(self) -> tuple[int, int]:
        """Order by priority, the highest first, then by arrival."""
        return (-self.priority, self.order)


@frozen
class Emission:
    """Hold one token of a sequence; None ends it."""

    sequence: Sequence
    token: EngineToken | None


@frozen
class Step:
    """Hold what one step takes and emits."""

    seconds: float
    emissions: list[Emission]


@define
class Batch:
    """Admit, prefill, decode and preempt sequences."""

    cache: PrefixCache
    speed: EngineSpeed
    max_running: int
    waiting: list[Sequence] = field(factory=list)
    running: list[Sequence] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)

    @property
    def private_tokens(self) -> int:
        """Return the tokens held outside the cache."""
        return sum(sequence.private_tokens for sequence in self.running)

    @property
    def used_tokens(self) -> int:
        """Return all tokens in memory."""
        return self.cache.used_tokens + self.private_tokens

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self.waiting.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Take a sequence out, keeping what the cache holds of it."""
        sequence.is_cancelled = True
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.running:
            self.leave(sequence)

    def step(self) -> Step | None:
        """Advance all running sequences; return None if there is nothing."""
        self.admit()
        if not self.running:
            return None
        prefilled = self.prefill()
        decoding = [
            sequence
            for sequence in sorted(self.running, key=_rank)
            if not sequence.prefill_left
        ]
        emissions = [
            Emission(sequence, self.decode(sequence)) for sequence in decoding
        ]
        self.keep_within_memory()
        seconds = (
            self.speed.step_seconds
            + prefilled * self.speed.prefill_seconds_per_token
            + len(decoding) * self.speed.decode_seconds_per_sequence
        )
        return Step(seconds, emissions)

    def admit(self) -> None:
        """Start waiting sequences in the order of their rank."""
        for sequence in sorted(self.waiting, key=_rank):
            if not self.make_place(sequence):
                return
            self.waiting.remove(sequence)
            self.running.append(sequence)

    def make_place(self, sequence: Sequence) -> bool:
        """Reserve memory for a sequence, preempting less favoured ones."""
        while len(self.running) >= self.max_running or not self.hold(sequence):
            worst = max(self.running, key=_rank, default=None)
            if worst is None or worst.priority >= sequence.priority:
                return False
            self.preempt(worst)
        return True

    def hold(self, sequence: Sequence) -> bool:
        """Hold the sequence's blocks in the cache, if they fit."""
        blocks = sequence.blocks
        present = self.cache.cached_prefix(blocks)
        self.cache.acquire(blocks[:present])
        cached = sum(block.tokens for block in blocks[:present])
        missing = sequence.prompt_tokens - cached
        extra = self.private_tokens + sequence.private_tokens
        if not self.cache.make_room(missing + extra):
            self.cache.release(blocks[:present])
            return False
        self.store_missing(sequence, present)
        sequence.prefill_left = missing + sequence.private_tokens
        self.count_prompt(sequence, cached)
        return True

    def store_missing(self, sequence: Sequence, present: int) -> None:
        """Add the blocks that the cache lacks and hold them too."""
        blocks = sequence.blocks
        parent = blocks[present - 1].block if present else ''
        for block in blocks[present:]:
            self.cache.store(block, parent)
            self.cache.blocks[block.block].users += 1
            parent = block.block
        sequence.held_blocks = len(blocks)

    def count_prompt(self, sequence: Sequence, cached: int) -> None:
        """Count the prompt at the first start, the rest as recomputed."""
        if sequence.has_started:
            self.counts['recomputed_tokens'] += sequence.prefill_left
            return
        sequence.has_started = True
        sequence.cached_tokens = cached
        self.counts['prompt_tokens'] += sequence.prompt_tokens
        self.counts['cached_tokens'] += cached
        self.counts['recomputed_tokens'] += sequence.resumed_tokens

    def prefill(self) -> int:
        """Compute one chunk of prompts; return its tokens."""
        left = _PREFILL_CHUNK_TOKENS
        for sequence in sorted(self.running, key=_rank):
            part = min(left, sequence.prefill_left)
            sequence.prefill_left -= part
            left -= part
        return _PREFILL_CHUNK_TOKENS - left

    def decode(self, sequence: Sequence) -> EngineToken | None:
        """Return the next token; at the end leave and return None."""
        if sequence.position < len(sequence.tokens):
            token = sequence.tokens[sequence.position]
            sequence.position += 1
            self.counts['completion_tokens'] += 1
            return token
        self.keep_answer(sequence)
        self.leave(sequence)
        return None

    def keep_answer(self, sequence: Sequence) -> None:
        """Turn the answer into a block, if it fits."""
        block = sequence.answer_block
        others = self.private_tokens - sequence.private_tokens
        if block and self.cache.make_room(block.tokens + others):
            parent = sequence.blocks[-1].block if sequence.blocks else ''
            self.cache.store(block, parent)

    def leave(self, sequence: Sequence) -> None:
        """Give back the sequence's memory."""
        self.running.remove(sequence)
        self.cache.release(sequence.blocks[: sequence.held_blocks])
        sequence.held_blocks = 0

    def preempt(self, sequence: Sequence) -> None:
        """Send a running sequence back to wait; its answer is kept."""
        self.leave(sequence)
        self.waiting.append(sequence)
        self.counts['preemptions'] += 1

    def keep_within_memory(self) -> None:
        """Evict, then preempt, until all tokens fit."""
        while not self.cache.make_room(self.private_tokens):
            if len(self.running) < 2:
                return
            self.preempt(max(self.running, key=_rank))


def _rank(sequence: Sequence) -> tuple[int, int]:
    return sequence.rank
