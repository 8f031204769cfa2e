"""Assign slots to replica sets of disks."""

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
    """Represent the replica sets; slots are assigned to them round-robin.

    During a change the configuration is joint: `previous` has the sets before
    the change, and a quorum is a majority of both sets of a slot.
    """

    epoch: int
    slots: int
    current: Sets
    previous: Sets | None = None

    def slot_of(self, program_id: str) -> int:
        """Return the slot of a program; its sub-agents share it."""
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
        """Return the names of all replicas, of the previous sets included."""
        named = (*self.current, *(self.previous or ()))
        return frozenset(name for group in named for name in group)

    def to_json(self, writer: str = '') -> str:
        """Return the JSON for the store, with an identifier of its writer."""
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
        """Parse a placement; raise StoreError if the text is invalid."""
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
            raise StoreError(
                f'invalid placement in the store: {error!r}'
            ) from error


class PlacementSource(Protocol):
    """Provide the newest placement."""

    @property
    def current(self) -> Placement:
        """Return the newest placement; raise UnavailableError without one."""


class PlacementView:
    """Track the newest placement that this process has received."""

    def __init__(self, placement: Placement | None = None) -> None:
        """Start with an optional placement."""
        self.placement = placement
        self.change = trio.Event()

    @property
    def epoch(self) -> int:
        """Return the epoch of the placement, or 0 without one."""
        return self.placement.epoch if self.placement else 0

    @property
    def current(self) -> Placement:
        """Return the placement; raise UnavailableError without one."""
        if self.placement is None:
            raise UnavailableError(
                'this process has not received a placement of histories yet',
                remedy='wait until this process reaches the store or a peer',
            )
        return self.placement

    def install(self, placement: Placement) -> bool:
        """Install a placement if its epoch is higher; return whether it is."""
        if placement.epoch <= self.epoch:
            return False
        self.placement = placement
        self.change.set()
        self.change = trio.Event()
        return True

    async def changed(self, after_epoch: int) -> Placement:
        """Wait for a placement of a higher epoch and return it."""
        while self.epoch <= after_epoch:
            await self.change.wait()
        return self.current


def _sets(raw: list[list[str]]) -> Sets:
    groups = tuple(tuple(str(name) for name in group) for group in raw)
    if not groups or not all(groups):
        raise ValueError('a replica set is empty')
    return groups
