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


@frozen
class RateTolerance:
    """Define how far the calls of a window may exceed a rate.

    In any window there may be `share` more than the rate and the burst allow,
    and `calls` beside that. Knowledge that is told with a delay lives on this.
    """

    share: float = 0.1
    calls: float = 20
    window_seconds: float = 5

    def grant_seconds(self, rate: float) -> float:
        """Return how long granted calls may be held before they are used.

        Those granted before a window and used in it exceed the rate by what
        it allows in this time, and take half of the calls in excess.
        """
        seconds = self.share * self.window_seconds
        if rate:
            seconds += self.calls / 2 / rate
        return min(MAX_GRANT_SECONDS, seconds)

    def least_capacity(self, limiters: int) -> float:
        """Return the least that each of several limiters may save up.

        All together may save up the other half of the calls in excess.
        """
        return max(1, self.calls / 2 / max(1, limiters))


# A grant that is held for longer is lost to whoever needs it elsewhere.
MAX_GRANT_SECONDS = 2.0
