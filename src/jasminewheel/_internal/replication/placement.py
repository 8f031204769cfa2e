"""Say which disks hold which slots."""

import json
from typing import Protocol, Self

import trio
from attrs import frozen
from xxhash import xxh64_intdigest

from jasminewheel._internal.replication.replicas import ReplicaSets
from jasminewheel.errors import StoreError, UnavailableError

PLACEMENT_KEY = 'placement'

Sets = tuple[tuple[str, ...], ...]


@frozen
class Placement:
    """Hold the replica sets; slots are dealt to the sets in turn.

    During a change `previous` holds the sets before it, and a majority of
    both is needed.
    """

    epoch: int
    slots: int
    current: Sets
    previous: Sets | None = None

    def slot_of(self, program_id: str) -> int:
        """Return the slot of a program, the same for its sub-agents."""
        root = program_id.partition('.')[0]
        return xxh64_intdigest(root.encode()) % self.slots

    def sets_of(self, slot: int) -> ReplicaSets:
        """Return the replica sets of a slot."""
        current = self.current[slot % len(self.current)]
        previous = current
        if self.previous:
            previous = self.previous[slot % len(self.previous)]
        return ReplicaSets(self.epoch, current, previous)

    def members(self) -> frozenset[str]:
        """Return all replicas named."""
        named = (*self.current, *(self.previous or ()))
        return frozenset(name for group in named for name in group)

    def to_json(self, writer: str = '') -> str:
        """Return the text kept in the store, with a mark of its writer."""
        return json.dumps(
            {
                'writer': writer,
                'epoch': self.epoch,
                'slots': self.slots,
                'current': self.current,
                'previous': self.previous,
            },
        )

    @classmethod
    def from_json(cls, text: str) -> Self:
        """Return the placement of a text; raise StoreError if it is none."""
        try:
            raw = json.loads(text)
            previous = raw['previous']
            return cls(
                int(raw['epoch']),
                int(raw['slots']),
                _sets(raw['current']),
                None if previous is None else _sets(previous),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise StoreError(f'not a placement: {error!r}') from error


class PlacementSource(Protocol):
    """Know the newest placement."""

    @property
    def current(self) -> Placement:
        """Return the newest placement known; raise UnavailableError if none."""


class PlacementView:
    """Hold the newest placement that this process has met."""

    def __init__(self, placement: Placement | None = None) -> None:
        """Start with a placement, or with none."""
        self.placement = placement
        self.change = trio.Event()

    @property
    def epoch(self) -> int:
        """Return the epoch of the placement, 0 without one."""
        return self.placement.epoch if self.placement else 0

    @property
    def current(self) -> Placement:
        """Return the placement; raise UnavailableError if there is none."""
        if self.placement is None:
            raise UnavailableError(
                'no placement of histories is known yet',
                remedy='wait until this process has met the store or a peer',
            )
        return self.placement

    def install(self, placement: Placement) -> bool:
        """Take a newer placement; refuse any other."""
        if placement.epoch <= self.epoch:
            return False
        self.placement = placement
        self.change.set()
        self.change = trio.Event()
        return True

    async def changed(self, after_epoch: int) -> Placement:
        """Return a placement of a higher epoch once there is one."""
        while self.epoch <= after_epoch:
            await self.change.wait()
        return self.current


def _sets(raw: list[list[str]]) -> Sets:
    groups = tuple(tuple(str(name) for name in group) for group in raw)
    if not groups or not all(groups):
        raise ValueError('a replica set is empty')
    return groups
