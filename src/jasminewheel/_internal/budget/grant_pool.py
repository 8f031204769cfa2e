"""Allocate tokens from the grants of one caller in this process."""

from math import exp

from attrs import define, field

# Time constant of the exponential decay of the demand estimate.
_DEMAND_DECAY_SECONDS = 10.0
# A refill requests the estimated demand of this many seconds.
_REFILL_DEMAND_SECONDS = 10.0
# A refill starts when the pool covers less than this many seconds of demand.
_LOW_DEMAND_SECONDS = 4.0
# At least this many times the missing tokens are requested; this sizes the
# first request, when there is no demand estimate yet.
_MIN_REFILL_CALLS = 4
# After a refusal, requests for as many tokens are refused locally this long.
_REFUSAL_CACHE_SECONDS = 1.0


@define(eq=False)
class ActiveGrant:
    """Represent one grant with its tokens that no call has reserved."""

    grant_id: str
    unreserved_tokens: int
    expires_at: float


@define(eq=False)
class TokenAllocation:
    """Represent the tokens reserved for one call, by grant."""

    parts: list[tuple[ActiveGrant, int]]

    def settle(self, used: int) -> int:
        """Release the unused tokens; return the tokens used in excess."""
        for grant, amount in self.parts:
            spent = min(used, amount)
            used -= spent
            grant.unreserved_tokens += amount - spent
        self.parts = []
        return used


@define(eq=False)
class GrantPool:
    """Reserve tokens from grants and estimate when more are needed."""

    grants: list[ActiveGrant] = field(factory=list)
    tokens_per_second: float = 0
    demand_at: float = 0
    used_at: float = 0
    waiting_tokens: int = 0
    # Tokens used beyond the reservation and not yet deducted from a grant.
    overdrawn_tokens: int = 0
    refused_minimum: int = 0
    refused_until: float = 0
    refused_seconds: float = 0

    def available_tokens(self, now: float) -> int:
        """Return the tokens that may be reserved."""
        return sum(
            grant.unreserved_tokens
            for grant in self.grants
            if grant.expires_at > now
        )

    def take(self, tokens: int, now: float) -> TokenAllocation | None:
        """Reserve tokens, first from the grants that expire soonest."""
        if self.available_tokens(now) < tokens:
            return None
        self.used_at = now
        allocation = TokenAllocation([])
        for grant in sorted(self.grants, key=_expiry):
            part = (
                min(grant.unreserved_tokens, tokens)
                if grant.expires_at > now
                else 0
            )
            if part:
                grant.unreserved_tokens -= part
                tokens -= part
                allocation.parts.append((grant, part))
        return allocation

    def record_demand(self, tokens: int, now: float) -> None:
        """Add a call to the demand estimate, in tokens per second."""
        elapsed = max(0, now - self.demand_at)
        self.tokens_per_second *= exp(-elapsed / _DEMAND_DECAY_SECONDS)
        self.tokens_per_second += tokens / _DEMAND_DECAY_SECONDS
        self.demand_at = now

    def is_low(self, now: float) -> bool:
        """Return whether to refill now, before a call has to wait for it."""
        is_refused = now < self.refused_until
        return (
            not is_refused
            and self.available_tokens(now)
            < self.tokens_per_second * _LOW_DEMAND_SECONDS
        )

    def refill_tokens(self, minimum: int) -> int:
        """Return the number of tokens to request."""
        return max(
            minimum * _MIN_REFILL_CALLS,
            self.waiting_tokens,
            int(self.tokens_per_second * _REFILL_DEMAND_SECONDS),
        )

    def add(self, grant_id: str, amount: int, expires_at: float) -> None:
        """Add a grant, less the overdrawn tokens."""
        self.grants.append(ActiveGrant(grant_id, amount, expires_at))
        self.charge(0)

    def charge(self, tokens: int) -> int:
        """Deduct unreserved tokens; return the tokens still overdrawn."""
        self.overdrawn_tokens += tokens
        for grant in self.grants:
            part = min(grant.unreserved_tokens, self.overdrawn_tokens)
            grant.unreserved_tokens -= part
            self.overdrawn_tokens -= part
        return self.overdrawn_tokens

    def record_refusal(
        self, minimum: int, seconds_left: float, now: float
    ) -> None:
        """Record for a short time that the budget is exhausted."""
        self.refused_minimum = minimum
        self.refused_seconds = seconds_left
        self.refused_until = now + _REFUSAL_CACHE_SECONDS

    def is_refused(self, minimum: int, now: float) -> bool:
        """Return whether as many tokens were refused recently."""
        return now < self.refused_until and minimum >= self.refused_minimum

    def drop_expired(self, now: float) -> None:
        """Drop the grants of windows that have ended."""
        self.grants = [grant for grant in self.grants if grant.expires_at > now]

    def take_all(self) -> list[ActiveGrant]:
        """Remove all grants; return those with unreserved tokens."""
        grants = self.grants
        self.grants = []
        return [grant for grant in grants if grant.unreserved_tokens]


def _expiry(grant: ActiveGrant) -> float:
    return grant.expires_at
