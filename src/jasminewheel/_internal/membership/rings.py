"""Choose the constant number of peers to which a member sends heartbeats.

The members are placed on several rings, each ordered by a different hash; a
member sends heartbeats to its successor on each ring. The union of the rings
is a random regular graph: each member is observed by one peer per ring, and
updates reach all members in a number of steps logarithmic in their number.
"""

from collections.abc import Iterable

from jasminewheel._internal.membership.rendezvous import hash_score

RINGS = 3


def successors(own: str, members: Iterable[str]) -> list[str]:
    """Return a member's distinct successors, one per ring."""
    others = [name for name in members if name != own]
    chosen: list[str] = []
    for ring in range(RINGS):
        left = [name for name in others if name not in chosen]
        if left:
            chosen.append(_successor(f'ring-{ring}', own, left))
    return chosen


def _successor(ring: str, own: str, others: Iterable[str]) -> str:
    start = hash_score(ring, own)
    distances = {name: hash_score(ring, name) - start for name in others}
    return min(others, key=lambda name: (distances[name] <= 0, distances[name]))
