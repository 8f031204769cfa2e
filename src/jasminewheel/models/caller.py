"""Define callers with their targets, priorities and budgets."""

from typing import Annotated

from attrs import frozen

from jasminewheel.models.fields import Count, Name, Seconds, Sha256, Tokens
from jasminewheel.models.rules import AtMost, Between

LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9


@frozen
class KeyHash:
    """Represent the hash of a caller's key; `expires_at` is Unix time."""

    sha256: Sha256
    expires_at: float | None = None

    def valid(self, now: float) -> bool:
        """Return whether the key has not expired at `now`, in Unix time."""
        return self.expires_at is None or now < self.expires_at


@frozen
class Budget:
    """Represent the limit of tokens that a caller spends in each window."""

    tokens: Tokens
    window_seconds: Seconds = 86400.0


@frozen
class Caller:
    """Represent one caller; a higher priority is more urgent."""

    name: Name
    key_hashes: Annotated[tuple[KeyHash, ...], AtMost(16)]
    budget: Budget
    targets: Annotated[tuple[Name, ...], AtMost(1000)]
    priority: Annotated[int, Between(LOWEST_PRIORITY, HIGHEST_PRIORITY)] = 0
    max_turns: Count = 200
    deadline_seconds: Seconds = 3600.0

    def may_call(self, target: str) -> bool:
        """Return whether the caller may call the target."""
        return target in self.targets
