"""Implement keys, revisions and leases of the fake store."""

from collections import deque

from attrs import define, field, frozen

_MAX_CHANGES = 4096


class RevisionConflict(Exception):
    """Report that a key's revision is not the expected one."""


class UnknownLease(Exception):
    """Report that a lease has expired or never existed."""


@frozen
class Item:
    """Represent a key's value and the revision that wrote it."""

    key: str
    value: str
    revision: int
    lease: str | None


@define
class Lease:
    """Represent a lease and its expiry time."""

    ttl_seconds: float
    expires_at: float


@frozen
class Change:
    """Record that a key changed at a revision."""

    revision: int
    key: str


@define
class StoreState:
    """Store keys with compare-and-swap, leases and revisions."""

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
        """Write the value and return its revision.

        An expected revision of 0 requires that the key does not exist.
        """
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
        """Raise RevisionConflict unless the key has the expected revision."""
        present = self.items.get(key)
        current = present.revision if present else 0
        if expected_revision is not None and expected_revision != current:
            raise RevisionConflict(f'{key} is at revision {current}')

    def record_change(self, key: str) -> None:
        """Increment the revision and record the key as changed."""
        self.revision += 1
        self.changes.append(Change(self.revision, key))

    def list(self, prefix: str) -> list[Item]:
        """Return the items with the prefix, sorted by key."""
        keys = sorted(key for key in self.items if key.startswith(prefix))
        return [self.items[key] for key in keys]

    def has_changed_after(self, prefix: str, revision: int) -> bool:
        """Return whether a key with the prefix may have changed since then."""
        if revision > self.revision:
            return True
        if self.changes and revision < self.changes[0].revision - 1:
            return True
        return any(
            change.revision > revision and change.key.startswith(prefix)
            for change in self.changes
        )

    def grant(self, ttl_seconds: float, now: float) -> str:
        """Create a lease and return its name."""
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
        """Remove the lease and delete its keys."""
        if self.leases.pop(name, None) is None:
            raise UnknownLease(name)
        held = [key for key in self.items if self.items[key].lease == name]
        for key in held:
            self.delete(key, None)

    def expire(self, now: float) -> bool:
        """Revoke the expired leases; return whether there were any."""
        expired = [
            name
            for name, lease in self.leases.items()
            if lease.expires_at <= now
        ]
        for name in expired:
            self.revoke(name)
        return bool(expired)
