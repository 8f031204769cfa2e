"""Hold the grants of one caller that this process may spend."""

from math import exp

from attrs import define, field

# Time in which the demand of the past loses its weight.
_DEMAND_SECONDS = 10.0
# A refill asks for the demand of this time.
_REFILL_SECONDS = 10.0
# Below the demand of this time, a refill is due.
_LOW_SECONDS = 4.0
# A first refill asks for so many times the call at hand.
_FIRST_CALLS = 4
_REFUSAL_SECONDS = 1.0


@define(eq=False)
class HeldGrant:
    """Hold what is left of one grant; reserved tokens are not in `left`."""

    grant: str
    left: int
    expires_at: float


@define(eq=False)
class Hold:
    """Hold the tokens reserved for one call, by grant."""

    parts: list[tuple[HeldGrant, int]]

    def settle(self, used: int) -> int:
        """Give back what is unused; return the tokens used in excess."""
        for held, amount in self.parts:
            spent = min(used, amount)
            used -= spent
            held.left += amount - spent
        self.parts = []
        return used


@define(eq=False)
class Purse:
    """Reserve from grants, and know when to ask for more."""

    grants: list[HeldGrant] = field(factory=list)
    demand: float = 0
    demand_at: float = 0
    used_at: float = 0
    waiting: int = 0
    # Tokens used beyond what was reserved, and not yet paid for.
    debt: int = 0
    refused_minimum: int = 0
    refused_until: float = 0
    refused_seconds: float = 0

    def left(self, now: float) -> int:
        """Return the tokens that may be reserved."""
        return sum(held.left for held in self.grants if held.expires_at > now)

    def take(self, tokens: int, now: float) -> Hold | None:
        """Reserve tokens, from the grant that expires first on."""
        if self.left(now) < tokens:
            return None
        self.used_at = now
        hold = Hold([])
        for held in sorted(self.grants, key=_expiry):
            part = min(held.left, tokens) if held.expires_at > now else 0
            if part:
                held.left -= part
                tokens -= part
                hold.parts.append((held, part))
        return hold

    def note_demand(self, tokens: int, now: float) -> None:
        """Count a call towards the demand, in tokens a second."""
        elapsed = max(0, now - self.demand_at)
        self.demand *= exp(-elapsed / _DEMAND_SECONDS)
        self.demand += tokens / _DEMAND_SECONDS
        self.demand_at = now

    def is_low(self, now: float) -> bool:
        """Tell whether a refill is due before a call has to wait for it."""
        is_refused = now < self.refused_until
        return not is_refused and self.left(now) < self.demand * _LOW_SECONDS

    def wanted(self, minimum: int) -> int:
        """Return the tokens worth asking for."""
        return max(
            minimum * _FIRST_CALLS,
            self.waiting,
            int(self.demand * _REFILL_SECONDS),
        )

    def add(self, grant: str, amount: int, expires_at: float) -> None:
        """Add a grant, less the debt."""
        self.grants.append(HeldGrant(grant, amount, expires_at))
        self.charge(0)

    def charge(self, tokens: int) -> int:
        """Spend tokens that were not reserved; return what stays a debt."""
        self.debt += tokens
        for held in self.grants:
            part = min(held.left, self.debt)
            held.left -= part
            self.debt -= part
        return self.debt

    def refuse(self, minimum: int, seconds_left: float, now: float) -> None:
        """Remember for a moment that the budget is exhausted."""
        self.refused_minimum = minimum
        self.refused_seconds = seconds_left
        self.refused_until = now + _REFUSAL_SECONDS

    def is_refused(self, minimum: int, now: float) -> bool:
        """Tell whether as much was refused a moment ago."""
        return now < self.refused_until and minimum >= self.refused_minimum

    def drop_expired(self, now: float) -> None:
        """Forget the grants of windows that are over."""
        self.grants = [held for held in self.grants if held.expires_at > now]

    def empty(self) -> list[HeldGrant]:
        """Take out all grants, to be given back."""
        grants = self.grants
        self.grants = []
        return [held for held in grants if held.left]


def _expiry(held: HeldGrant) -> float:
    return held.expires_at
