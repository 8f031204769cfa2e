"""Hold what a process knows of the store, and since when."""

from attrs import define


@define(eq=False)
class StoreContact:
    """Hold up to which revision the store is known, and from when."""

    revision: int = 0
    # When the store, or another process for it, last told something.
    told_at: float = 0
    lost_at: float | None = None

    def told(self, revision: int, now: float) -> None:
        """Note what was told."""
        self.revision = max(self.revision, revision)
        self.told_at = now

    def lost(self, now: float) -> None:
        """Note that the store does not answer."""
        if self.lost_at is None:
            self.lost_at = now

    def back(self, now: float) -> float:
        """Note that the store answers; return for how long it had not."""
        away = 0 if self.lost_at is None else now - self.lost_at
        self.lost_at = None
        return away

    def age(self, now: float) -> float:
        """Return how long ago something was told."""
        return now - self.told_at
