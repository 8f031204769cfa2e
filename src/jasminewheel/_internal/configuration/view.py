"""Provide the configuration in force in this process."""

import trio

from jasminewheel._internal.configuration.snapshot import Snapshot


class ConfigurationView:
    """Store the newest snapshot and notify tasks that wait for a newer one."""

    def __init__(self, snapshot: Snapshot | None = None) -> None:
        """Start from a snapshot, or from the empty version 0."""
        self.current = snapshot or Snapshot()
        self.arrival = trio.Event()

    def install(self, snapshot: Snapshot) -> bool:
        """Install the snapshot if it is newer; return whether it was."""
        if snapshot.version <= self.current.version:
            return False
        self.current = snapshot
        arrival = self.arrival
        self.arrival = trio.Event()
        arrival.set()
        return True

    async def changed(self, after_version: int) -> Snapshot:
        """Wait for a version later than `after_version` and return it."""
        while self.current.version <= after_version:
            await self.arrival.wait()
        return self.current
