"""Check that a proof of age never claims more than was known."""

import math

from hypothesis import given
from hypothesis import strategies as some

from jasminewheel._internal.store.proof import ContentsProof

ROUNDING_SECONDS = 0.000001
SECONDS = some.floats(0, 10)


@given(SECONDS, SECONDS, SECONDS, SECONDS)
def test_follower_knows_no_more_than_its_reader(asked, way, held, read_before):
    """The clocks of both count from different starts."""
    offset = 1000
    received = asked + way
    reader = ContentsProof()
    # The reader read the store before it replied, maybe while it held.
    reader.record(offset + received + held - min(read_before, held + received))
    follower = ContentsProof()
    follower.record(asked, reader.age(offset + received))
    latest = reader.newest_at - offset
    assert follower.newest_at <= latest + ROUNDING_SECONDS


def test_nothing_is_proven_at_first():
    """Without a read the age is infinite; an older proof changes nothing."""
    proof = ContentsProof()
    assert math.isinf(proof.age(5))
    proof.record(4)
    proof.record(3)
    assert proof.newest_at == 4
