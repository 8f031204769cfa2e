"""Represent organisations, their keys and the rates of their calls."""

from attrs import frozen


@frozen
class Organisation:
    """Represent what the operators declare about an organisation."""

    name: str
    # Calls a second over all entries; zero if they are not limited.
    rate: float = 0
    # Calls that may come at once beside that.
    burst: float = 0
    # Goes before the priority of a route; None to leave that in force.
    priority: int | None = None
    # Keys that the operators declare for it.
    key_count: int = 0


@frozen
class RateTolerance:
    """Define how far the calls of a window may exceed a rate.

    In any window there may be `share` more than the rate and the burst allow,
    and `calls` beside that. Knowledge that is told with a delay lives on this.
    """

    share: float = 0.1
    calls: float = 20
    window_seconds: float = 5

    def capacity(self, organisation: Organisation) -> float:
        """Return how many calls may be saved up for an organisation.

        In a window these come on top of what the rate allows, and so do calls
        that were granted before the window and are used in it.
        """
        burst = organisation.burst * (1 + self.share)
        spare_seconds = self.share * self.window_seconds - GRANT_SECONDS
        spare = organisation.rate * spare_seconds + self.calls
        return max(1, burst + spare)


# How long granted calls may be held before they are used: a round trip to the
# other region, and some more.
GRANT_SECONDS = 0.3
