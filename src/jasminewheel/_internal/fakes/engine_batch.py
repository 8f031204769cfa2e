"""Batch sequences continuously, as the stand-in's engine does."""

from attrs import define, field, frozen

from jasminewheel._internal.fakes.engine_sequence import (
    Sequence,
    SequenceMemory,
)
from jasminewheel._internal.targets.engine import EngineToken

_PREFILL_CHUNK_TOKENS = 2048


@frozen
class EngineSpeed:
    """Set how long the parts of a step take."""

    step_seconds: float = 0.002
    prefill_seconds_per_token: float = 0.00005
    decode_seconds_per_sequence: float = 0.0005


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

    memory: SequenceMemory
    speed: EngineSpeed
    max_running: int
    waiting: list[Sequence] = field(factory=list)
    running: list[Sequence] = field(factory=list)

    @property
    def private_tokens(self) -> int:
        """Return the tokens held outside the cache."""
        return sum(sequence.private_tokens for sequence in self.running)

    @property
    def used_tokens(self) -> int:
        """Return all tokens in memory."""
        return self.memory.cache.used_tokens + self.private_tokens

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self.waiting.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Take a sequence out, keeping what the cache holds of it."""
        sequence.is_cancelled = True
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.running:
            self.stop(sequence)

    def step(self) -> Step | None:
        """Advance all running sequences; return None if there is nothing."""
        self.admit()
        if not self.running:
            return None
        prefilled = self.prefill()
        decoding = [
            sequence
            for sequence in sorted(self.running, key=_rank)
            if not sequence.remaining_prefill_tokens
        ]
        emissions = [
            Emission(sequence, self.decode(sequence)) for sequence in decoding
        ]
        self.enforce_memory_limit()
        seconds = (
            self.speed.step_seconds
            + prefilled * self.speed.prefill_seconds_per_token
            + len(decoding) * self.speed.decode_seconds_per_sequence
        )
        return Step(seconds, emissions)

    def admit(self) -> None:
        """Start waiting sequences in the order of their rank."""
        for sequence in sorted(self.waiting, key=_rank):
            if not self.allocate(sequence):
                return
            self.waiting.remove(sequence)
            self.running.append(sequence)

    def allocate(self, sequence: Sequence) -> bool:
        """Reserve memory for a sequence, preempting less favoured ones."""
        while len(self.running) >= self.max_running or not self.memory.allocate(
            sequence, self.private_tokens
        ):
            lowest = max(self.running, key=_rank, default=None)
            if lowest is None or lowest.priority >= sequence.priority:
                return False
            self.preempt(lowest)
        return True

    def prefill(self) -> int:
        """Compute one chunk of prompts; return its tokens."""
        budget = _PREFILL_CHUNK_TOKENS
        for sequence in sorted(self.running, key=_rank):
            part = min(budget, sequence.remaining_prefill_tokens)
            sequence.remaining_prefill_tokens -= part
            budget -= part
        return _PREFILL_CHUNK_TOKENS - budget

    def decode(self, sequence: Sequence) -> EngineToken | None:
        """Return the next token; at the end leave and return None."""
        if sequence.position < len(sequence.tokens):
            token = sequence.tokens[sequence.position]
            sequence.position += 1
            self.memory.counts['completion_tokens'] += 1
            return token
        other_tokens = self.private_tokens - sequence.private_tokens
        self.memory.cache_answer(sequence, other_tokens)
        self.stop(sequence)
        return None

    def stop(self, sequence: Sequence) -> None:
        """Give back the sequence's memory."""
        self.running.remove(sequence)
        self.memory.release(sequence)

    def preempt(self, sequence: Sequence) -> None:
        """Send a running sequence back to wait; its answer is kept."""
        self.stop(sequence)
        self.waiting.append(sequence)
        self.memory.counts['preemptions'] += 1

    def enforce_memory_limit(self) -> None:
        """Evict, then preempt, until all tokens fit."""
        while not self.memory.cache.make_room(self.private_tokens):
            if len(self.running) < 2:
                return
            self.preempt(max(self.running, key=_rank))


def _rank(sequence: Sequence) -> tuple[int, int]:
    return sequence.rank
