"""Keep keys, revisions and leases of the store's stand-in."""

from collections import deque

from attrs import define, field, frozen

_MAX_CHANGES = 4096


class RevisionConflict(Exception):
    """Report that a key has another revision than expected."""


class UnknownLease(Exception):
    """Report a lease that lapsed or never was."""


@frozen
class Item:
    """Hold a value with the revision that wrote it."""

    key: str
    value: str
    revision: int
    lease: str | None


@define
class Lease:
    """Hold when a lease lapses."""

    ttl_seconds: float
    expires_at: float


@frozen
class Change:
    """Record that a key changed at a revision."""

    revision: int
    key: str


@define
class StoreState:
    """Apply compare-and-swap, leases and revisions."""

    revision: int = 0
    lease_count: int = 0
    items: dict[str, Item] = field(factory=dict)
    leases: dict[str, Lease] = field(factory=dict)
    changes: deque[Change] = field(
        factory=lambda: deque(maxlen=_MAX_CHANGES),
    )

    def put(
        self,
        key: str,
        value: str,
        expected_revision: int | None,
        lease: str | None,
    ) -> int:
        """Write the value and return its revision; 0 expects no key."""
        self.check(key, expected_revision)
        if lease is not None and lease not in self.leases:
            raise UnknownLease(lease)
        self.record_change(key)
        self.items[key] = Item(key, value, self.revision, lease)
        return self.revision

    def delete(self, key: str, expected_revision: int | None) -> int:
        """Delete the key and return the revision of the change."""
        self.check(key, expected_revision)
        if self.items.pop(key, None):
            self.record_change(key)
        return self.revision

    def check(self, key: str, expected_revision: int | None) -> None:
        """Raise RevisionConflict unless the key has the revision."""
        present = self.items.get(key)
        current = present.revision if present else 0
        if expected_revision is not None and expected_revision != current:
            raise RevisionConflict(f'{key} is at revision {current}')

    def record_change(self, key: str) -> None:
        """Count a change of key."""
        self.revision += 1
        self.changes.append(Change(self.revision, key))

    def list(self, prefix: str) -> list[Item]:
        """Return the items below prefix in the order of keys."""
        keys = sorted(key for key in self.items if key.startswith(prefix))
        return [self.items[key] for key in keys]

    def has_changed_after(self, prefix: str, revision: int) -> bool:
        """Tell whether a key below prefix changed after revision."""
        if revision > self.revision:
            return True
        if self.changes and revision < self.changes[0].revision - 1:
            return True
        return any(
            change.revision > revision and change.key.startswith(prefix)
            for change in self.changes
        )

    def grant(self, ttl_seconds: float, now: float) -> str:
        """Return a new lease."""
        self.lease_count += 1
        name = f'lease-{self.lease_count}'
        self.leases[name] = Lease(ttl_seconds, now + ttl_seconds)
        return name

    def renew(self, name: str, now: float) -> None:
        """Extend the lease by its time to live."""
        lease = self.leases.get(name)
        if lease is None:
            raise UnknownLease(name)
        lease.expires_at = now + lease.ttl_seconds

    def revoke(self, name: str) -> None:
        """End the lease and delete the keys under it."""
        if self.leases.pop(name, None) is None:
            raise UnknownLease(name)
        held = [key for key in self.items if self.items[key].lease == name]
        for key in held:
            self.delete(key, None)

    def expire(self, now: float) -> bool:
        """End the leases that lapsed; tell whether any did."""
        expired = [
            name
            for name, lease in self.leases.items()
            if lease.expires_at <= now
        ]
        for name in expired:
            self.revoke(name)
        return bool(expired)
