"""Declare callers: who may call what, how urgently and how much."""

from typing import Annotated

from attrs import frozen

from jasminewheel.models.fields import Count, Name, Seconds, Sha256, Tokens
from jasminewheel.models.rules import AtMost, Between

LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9


@frozen
class KeyHash:
    """Hold the hash of one of a caller's keys; expires_at is Unix time."""

    sha256: Sha256
    expires_at: float | None = None

    def valid(self, now: float) -> bool:
        """Return whether the key may still be used."""
        return self.expires_at is None or now < self.expires_at


@frozen
class Budget:
    """Limit the tokens a caller spends in each window."""

    tokens: Tokens
    window_seconds: Seconds = 86400.0


@frozen
class Caller:
    """Declare one caller."""

    name: Name
    key_hashes: Annotated[tuple[KeyHash, ...], AtMost(16)]
    budget: Budget
    targets: Annotated[tuple[Name, ...], AtMost(1000)]
    priority: Annotated[int, Between(LOWEST_PRIORITY, HIGHEST_PRIORITY)] = 0
    max_turns: Count = 200
    deadline_seconds: Seconds = 3600.0

    def may_call(self, target: str) -> bool:
        """Return whether the target is one of those allowed."""
        return target in self.targets
