"""Keep prompt prefixes in bounded memory, as the stand-in's engine does."""

from collections.abc import Sequence

from attrs import define, field, frozen

from jasminewheel._internal.targets.prefix import PrefixBlock


class StaleFence(Exception):
    """Refuse an order that carries an older fence."""


class UnknownBlock(Exception):
    """Report a block that the cache does not hold."""


@frozen
class CacheChange:
    """Record that a block was stored or evicted."""

    kind: str
    block: str
    tokens: int


@define
class CachedBlock:
    """Hold one block's place in the cache."""

    tokens: int
    parent: str
    last_used: int
    children: int = 0
    users: int = 0
    hits: int = 0
    pins: int = 0

    @property
    def is_free(self) -> bool:
        """Tell whether the block may be evicted."""
        return not (self.children or self.users or self.pins)


@define
class Pin:
    """Hold a pin's expiry and fence."""

    expires_at: float
    fence: int
    prefix: tuple[str, ...]


@define
class CacheCounts:
    """Count what the cache cost and saved, in tokens."""

    evicted_tokens: int = 0
    # Evicted before any prompt used them again.
    evicted_unused_tokens: int = 0
    # Computed again after an eviction.
    wasted_tokens: int = 0
    imported_tokens: int = 0


@define
class PrefixCache:
    """Store blocks, evict the least recently used, honour pins."""

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
        """Return how many leading blocks are present."""
        for index, block in enumerate(blocks):
            if block.block not in self.blocks:
                return index
        return len(blocks)

    def acquire(self, blocks: Sequence[PrefixBlock]) -> None:
        """Hold present blocks for a running sequence."""
        self.clock += 1
        for block in blocks:
            cached = self.blocks[block.block]
            cached.users += 1
            cached.hits += 1
            cached.last_used = self.clock

    def release(self, blocks: Sequence[PrefixBlock]) -> None:
        """End the hold of a sequence."""
        for block in blocks:
            self.blocks[block.block].users -= 1

    def store(
        self, block: PrefixBlock, parent: str, *, is_prompt: bool = True
    ) -> None:
        """Add a block whose room was made; its parent is present."""
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
        """Evict until the tokens fit; tell whether they do."""
        while self.used_tokens + tokens > self.capacity_tokens:
            if not self.evict_one():
                return False
        return True

    def evict_one(self) -> bool:
        """Evict the least recently used free block, if there is one."""
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
        """Return the block and its parents, the root first."""
        if block not in self.blocks:
            raise UnknownBlock(block)
        names = []
        while block:
            names.append(block)
            block = self.blocks[block].parent
        return tuple(reversed(names))

    def pin(self, block: str, expires_at: float, fence: int) -> None:
        """Keep the prefix that ends in block until it expires."""
        prefix = self.prefix_of(block)
        self.unpin(block)
        self.pins[block] = Pin(expires_at, fence, prefix)
        for name in prefix:
            self.blocks[name].pins += 1

    def unpin(self, block: str) -> bool:
        """End the pin of block; tell whether there was one."""
        pin = self.pins.pop(block, None)
        if pin is None:
            return False
        for name in pin.prefix:
            self.blocks[name].pins -= 1
        return True

    def check_fence(self, block: str, fence: int) -> None:
        """Remember the highest fence for block; raise StaleFence below it."""
        highest = self.pin_fences.get(block, 0)
        if fence < highest:
            raise StaleFence(f'{block} has fence {highest}')
        self.pin_fences[block] = fence

    def expire(self, now: float) -> None:
        """End the pins whose time is over."""
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
