"""Check batching, eviction and preemption in the fake engine."""

import pytest

from jasminewheel._internal.fakes.answers import make_answer
from jasminewheel._internal.fakes.engine_batch import Batch, EngineSpeed
from jasminewheel._internal.fakes.engine_cache import PrefixCache
from jasminewheel._internal.fakes.engine_sequence import (
    Sequence,
    SequenceMemory,
)
from jasminewheel._internal.targets.prefix import chain

SPEED = EngineSpeed(
    step_seconds=0.01,
    prefill_seconds_per_token=0.001,
    decode_seconds_per_sequence=0.002,
)


def sequence(order, content, priority=0, max_tokens=4):
    """Return a sequence with one message."""
    messages = [{'role': 'user', 'content': content}]
    answer = make_answer('m', messages, max_tokens)
    blocks = chain(messages)
    reply = {'role': 'assistant', 'content': answer.text}
    return Sequence(
        request_id=str(order),
        priority=priority,
        order=order,
        blocks=blocks,
        tokens=answer.tokens,
        finish=answer.finish,
        answer_block=chain([reply], blocks[-1].block)[0],
    )


def make_batch(capacity_tokens=10_000, max_running=4):
    """Return an empty batch."""
    memory = SequenceMemory(PrefixCache(capacity_tokens))
    return Batch(memory, SPEED, max_running)


def drain(batch):
    """Run all steps; return the sequences' orders as they end."""
    ended = []
    for _ in range(1000):
        step = batch.step()
        if step is None:
            return ended
        ended.extend(
            emission.sequence.order
            for emission in step.emissions
            if emission.token is None
        )
    raise AssertionError('the batch does not come to an end')


def test_step_time():
    """Prefill time is per token, decode time per sequence."""
    batch = make_batch()
    batch.submit(sequence(1, 'a' * 384))
    assert batch.step().seconds == pytest.approx(0.01 + 100 * 0.001 + 0.002)
    assert batch.step().seconds == pytest.approx(0.01 + 0.002)


def test_priority_preempts():
    """A sequence of higher priority preempts one of lower priority."""
    batch = make_batch(max_running=1)
    batch.submit(sequence(1, 'first', max_tokens=9))
    batch.step()
    batch.submit(sequence(2, 'second', priority=9))
    assert drain(batch) == [2, 1]
    assert batch.memory.counts['preemptions'] == 1
    assert batch.memory.counts['completion_tokens'] == 13


def test_equal_priority_waits():
    """Equal priorities run in the order of arrival."""
    batch = make_batch(max_running=1)
    batch.submit(sequence(1, 'first'))
    batch.submit(sequence(2, 'second'))
    assert drain(batch) == [1, 2]


def test_memory_is_bounded():
    """Old prefixes are evicted; recomputing one counts as waste."""
    batch = make_batch(capacity_tokens=300)
    for order in (1, 2, 3):
        batch.submit(sequence(order, str(order) * 384))
        drain(batch)
        assert batch.used_tokens <= 300
    counts = batch.memory.cache.counts
    assert counts.evicted_unused_tokens > 0
    assert counts.wasted_tokens == 0
    batch.submit(sequence(4, '1' * 384))
    drain(batch)
    assert counts.wasted_tokens == 100


def test_pins_are_kept():
    """A pinned prefix stays until the pin expires."""
    batch = make_batch(capacity_tokens=250)
    kept = sequence(1, 'kept' * 96)
    batch.submit(kept)
    drain(batch)
    cache = batch.memory.cache
    cache.pin(kept.blocks[0].block, expires_at=5, fence=1)
    for order in (2, 3, 4):
        batch.submit(sequence(order, str(order) * 384))
        drain(batch)
    assert cache.cached_prefix(kept.blocks) == 1
    cache.expire(now=5)
    for order in (5, 6):
        batch.submit(sequence(order, str(order) * 384))
        drain(batch)
    assert cache.cached_prefix(kept.blocks) == 0
