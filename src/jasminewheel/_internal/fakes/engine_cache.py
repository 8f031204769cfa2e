"""Implement the bounded prefix cache of the fake engine."""

from collections.abc import Sequence

from attrs import define, field, frozen

from jasminewheel._internal.targets.prefix import PrefixBlock


class StaleFence(Exception):
    """Report that a command carries a fence lower than the highest one."""


class UnknownBlock(Exception):
    """Report that a block is not in the cache."""


@frozen
class CacheChange:
    """Record that a block was stored or evicted."""

    kind: str
    block: str
    tokens: int


@define
class CachedBlock:
    """Represent one block in the cache."""

    tokens: int
    parent: str
    last_used: int
    children: int = 0
    users: int = 0
    hits: int = 0
    pins: int = 0

    @property
    def is_free(self) -> bool:
        """Return whether the block may be evicted."""
        return not (self.children or self.users or self.pins)


@define
class Pin:
    """Represent a pin on a prefix with its expiry and fence."""

    expires_at: float
    fence: int
    prefix: tuple[str, ...]


@define
class CacheCounts:
    """Count evicted, recomputed and imported tokens."""

    evicted_tokens: int = 0
    # Evicted before any prompt reused them.
    evicted_unused_tokens: int = 0
    # Recomputed after an eviction.
    wasted_tokens: int = 0
    imported_tokens: int = 0


@define
class PrefixCache:
    """Cache blocks; evict the least recently used that are not pinned."""

    capacity_tokens: int
    used_tokens: int = 0
    clock: int = 0
    blocks: dict[str, CachedBlock] = field(factory=dict)
    pins: dict[str, Pin] = field(factory=dict)
    pin_fences: dict[str, int] = field(factory=dict)
    evicted: set[str] = field(factory=set)
    changes: list[CacheChange] = field(factory=list)
    counts: CacheCounts = field(factory=CacheCounts)

    def cached_prefix(self, blocks: Sequence[PrefixBlock]) -> int:
        """Return the number of leading blocks in the cache."""
        for index, block in enumerate(blocks):
            if block.block not in self.blocks:
                return index
        return len(blocks)

    def acquire(self, blocks: Sequence[PrefixBlock]) -> None:
        """Add a user to cached blocks, so that they are not evicted."""
        self.clock += 1
        for block in blocks:
            cached = self.blocks[block.block]
            cached.users += 1
            cached.hits += 1
            cached.last_used = self.clock

    def release(self, blocks: Sequence[PrefixBlock]) -> None:
        """Remove a user from the blocks."""
        for block in blocks:
            self.blocks[block.block].users -= 1

    def store(
        self, block: PrefixBlock, parent: str, *, is_prompt: bool = True
    ) -> None:
        """Store a block; it must fit, and its parent must be stored."""
        if block.block in self.blocks:
            return
        self.clock += 1
        self.blocks[block.block] = CachedBlock(
            block.tokens,
            parent,
            self.clock,
        )
        if parent:
            self.blocks[parent].children += 1
        self.used_tokens += block.tokens
        if is_prompt and block.block in self.evicted:
            self.counts.wasted_tokens += block.tokens
        self.evicted.discard(block.block)
        self.changes.append(CacheChange('stored', block.block, block.tokens))

    def make_room(self, tokens: int) -> bool:
        """Evict blocks until the tokens fit; return whether they do."""
        while self.used_tokens + tokens > self.capacity_tokens:
            if not self.evict_one():
                return False
        return True

    def evict_one(self) -> bool:
        """Evict the least recently used free block; return False if none."""
        free = [name for name, cached in self.blocks.items() if cached.is_free]
        if not free:
            return False
        oldest = min(free, key=lambda name: self.blocks[name].last_used)
        cached = self.blocks.pop(oldest)
        if cached.parent:
            self.blocks[cached.parent].children -= 1
        self.used_tokens -= cached.tokens
        self.evicted.add(oldest)
        self.counts.evicted_tokens += cached.tokens
        if not cached.hits:
            self.counts.evicted_unused_tokens += cached.tokens
        self.changes.append(CacheChange('evicted', oldest, cached.tokens))
        return True

    def prefix_of(self, block: str) -> tuple[str, ...]:
        """Return the block and its ancestors, the root first.

        Raises UnknownBlock if the block is not in the cache.
        """
        if block not in self.blocks:
            raise UnknownBlock(block)
        names = []
        while block:
            names.append(block)
            block = self.blocks[block].parent
        return tuple(reversed(names))

    def pin(self, block: str, expires_at: float, fence: int) -> None:
        """Protect the prefix that ends in block from eviction until expiry."""
        prefix = self.prefix_of(block)
        self.unpin(block)
        self.pins[block] = Pin(expires_at, fence, prefix)
        for name in prefix:
            self.blocks[name].pins += 1

    def unpin(self, block: str) -> bool:
        """Remove the pin of block; return whether there was one."""
        pin = self.pins.pop(block, None)
        if pin is None:
            return False
        for name in pin.prefix:
            self.blocks[name].pins -= 1
        return True

    def check_fence(self, block: str, fence: int) -> None:
        """Record a block's highest fence; raise StaleFence for a lower one."""
        highest = self.pin_fences.get(block, 0)
        if fence < highest:
            raise StaleFence(f'stale fence: {block} has fence {highest}')
        self.pin_fences[block] = fence

    def expire(self, now: float) -> None:
        """Remove the expired pins."""
        expired = [
            name for name, pin in self.pins.items() if pin.expires_at <= now
        ]
        for name in expired:
            self.unpin(name)

    def drain_changes(self) -> list[CacheChange]:
        """Return the changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes
