"""Implement continuous batching of sequences in the fake engine."""

from attrs import define, field, frozen

from jasminewheel._internal.fakes.engine_sequence import (
    Sequence,
    SequenceMemory,
)
from jasminewheel._internal.targets.engine import EngineToken

_PREFILL_CHUNK_TOKENS = 2048


@frozen
class EngineSpeed:
    """Configure the durations of the parts of a step."""

    step_seconds: float = 0.002
    prefill_seconds_per_token: float = 0.00005
    decode_seconds_per_sequence: float = 0.0005


@frozen
class Emission:
    """Represent one token of a sequence; None marks its end."""

    sequence: Sequence
    token: EngineToken | None


@frozen
class Step:
    """Represent the duration and the emissions of one step."""

    seconds: float
    emissions: list[Emission]


@define
class Batch:
    """Schedule sequences: admit, prefill, decode and preempt them."""

    memory: SequenceMemory
    speed: EngineSpeed
    max_running: int
    waiting: list[Sequence] = field(factory=list)
    running: list[Sequence] = field(factory=list)

    @property
    def private_tokens(self) -> int:
        """Return the number of tokens in memory outside the cache."""
        return sum(sequence.private_tokens for sequence in self.running)

    @property
    def used_tokens(self) -> int:
        """Return the number of tokens in memory."""
        return self.memory.cache.used_tokens + self.private_tokens

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self.waiting.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Remove a sequence; its prompt blocks stay in the cache."""
        sequence.is_cancelled = True
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.running:
            self.stop(sequence)

    def step(self) -> Step | None:
        """Advance all running sequences; return None if there are none."""
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
        """Start waiting sequences by rank until one does not fit."""
        for sequence in sorted(self.waiting, key=_rank):
            if not self.allocate(sequence):
                return
            self.waiting.remove(sequence)
            self.running.append(sequence)

    def allocate(self, sequence: Sequence) -> bool:
        """Allocate memory, preempting sequences of lower priority.

        Return whether the sequence can start.
        """
        while len(self.running) >= self.max_running or not self.memory.allocate(
            sequence, self.private_tokens
        ):
            lowest = max(self.running, key=_rank, default=None)
            if lowest is None or lowest.priority >= sequence.priority:
                return False
            self.preempt(lowest)
        return True

    def prefill(self) -> int:
        """Prefill up to one chunk; return the number of tokens computed."""
        budget = _PREFILL_CHUNK_TOKENS
        for sequence in sorted(self.running, key=_rank):
            part = min(budget, sequence.remaining_prefill_tokens)
            sequence.remaining_prefill_tokens -= part
            budget -= part
        return _PREFILL_CHUNK_TOKENS - budget

    def decode(self, sequence: Sequence) -> EngineToken | None:
        """Return the next token; at the end stop and return None."""
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
        """Remove a running sequence and release its memory."""
        self.running.remove(sequence)
        self.memory.release(sequence)

    def preempt(self, sequence: Sequence) -> None:
        """Return a running sequence to the queue; its position is kept."""
        self.stop(sequence)
        self.waiting.append(sequence)
        self.memory.counts['preemptions'] += 1

    def enforce_memory_limit(self) -> None:
        """Evict blocks, then preempt sequences, until all tokens fit."""
        while not self.memory.cache.make_room(self.private_tokens):
            if len(self.running) < 2:
                return
            self.preempt(max(self.running, key=_rank))


def _rank(sequence: Sequence) -> tuple[int, int]:
    return sequence.rank
