"""Order the owners of a slot."""

from typing import Self

from attrs import frozen

from jasminewheel._internal.wire.gen.history.ttypes import WireFence

TERM_BITS = 40


@frozen(order=True)
class Fence:
    """Identify one ownership of a slot; replicas refuse lower fences.

    No two owners of a slot share epoch and term, because a replica promises
    each pair of epoch and term once and majorities intersect.
    """

    epoch: int
    term: int
    member: str
    incarnation: str

    @property
    def number(self) -> int:
        """Return epoch and term as one number that rises with each owner."""
        return (self.epoch << TERM_BITS) | self.term

    @property
    def ballot(self) -> tuple[int, int]:
        """Return epoch and term, which a replica promises at most once."""
        return self.epoch, self.term

    def to_wire(self) -> WireFence:
        """Return the message form of the fence."""
        return WireFence(
            epoch=self.epoch,
            term=self.term,
            member=self.member,
            incarnation=self.incarnation,
        )

    @classmethod
    def from_wire(cls, wire: WireFence) -> Self:
        """Return the fence of a message."""
        return cls(wire.epoch, wire.term, wire.member, wire.incarnation)


LOWEST_FENCE = Fence(0, 0, '', '')
