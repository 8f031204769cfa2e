"""Decode the replies of the platform's key-value store.

Names that mislead: AsOf is a revision, and watches answer with events, of
which those with Deleted set are removals.
"""

from base64 import b64decode
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from attrs import define, field, frozen

from jasminewheel._internal.store.port import (
    LeasedItem,
    StoreChanges,
    StoreItem,
)
from jasminewheel.errors import (
    LeaseEndedError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

# For all values together; a configuration and its runners take some 100 KB.
MAX_SNAPSHOT_BYTES = 33554432
# Memory that a stored value takes beside its own bytes.
ITEM_OVERHEAD_BYTES = 256
_OK = 200
_REFUSED_STATUSES = (429, 503)
_PROBLEMS = MappingProxyType(
    {
        404: (LeaseEndedError, 'the lease has ended'),
        412: (StoreConflictError, 'the key is at another revision'),
    }
)


@frozen
class StoreReply:
    """Represent the status and the decoded body of a reply."""

    status: int
    fields: Mapping[str, Any]


@frozen
class StorePage:
    """Represent one page of values in the order of their keys."""

    items: tuple[StoreItem, ...]
    revision: int
    has_more: bool

    @property
    def last_key(self) -> str:
        """Return the key after which the next page starts."""
        return self.items[-1].key if self.items else ''


def check_status(reply: StoreReply) -> None:
    """Raise StoreError unless the status is 200."""
    if reply.status == _OK:
        return
    if reply.status in _REFUSED_STATUSES:
        raise StoreUnavailableError(
            f'the store refused the request with status {reply.status}'
        )
    kind, problem = _PROBLEMS.get(
        reply.status,
        (StoreError, f'the store answered with status {reply.status}'),
    )
    raise kind(problem)


def parse_reply(
    reply: StoreReply, read: Callable[[Mapping[str, Any]], Any]
) -> Any:
    """Read the fields; raise StoreUnavailableError if they are malformed."""
    try:
        return read(reply.fields)
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailableError(
            f'unreadable reply from the store: {error!r}'
        ) from error


def _item(fields: Mapping[str, Any]) -> StoreItem:
    return StoreItem(
        str(fields['Key']),
        b64decode(fields['Value']),
        int(fields['Revision']),
    )


def read_leased_item(fields: Mapping[str, Any]) -> LeasedItem:
    """Return the item of one key with its lease."""
    return LeasedItem(
        b64decode(fields['Value']),
        int(fields['Revision']),
        str(fields.get('Lease') or ''),
    )


@define
class StorePages:
    """Collect the pages of all values."""

    items: list[StoreItem] = field(factory=list)
    # Revision of the first page; changes after it are read by the watch, so a
    # change between two pages is not missed.
    revision: int = 0
    after: str = ''
    has_more: bool = True
    held_bytes: int = 0

    def add(self, page: StorePage) -> None:
        """Add a page.

        Raise StoreUnavailableError above MAX_SNAPSHOT_BYTES, because a faulty
        store may return pages without end.
        """
        self.held_bytes += sum(
            ITEM_OVERHEAD_BYTES + len(one.value) for one in page.items
        )
        if self.held_bytes > MAX_SNAPSHOT_BYTES:
            raise StoreUnavailableError(
                'the pages of the store do not end: their values exceed the '
                'maximum size of a snapshot',
                remedy='check whether the store returns correct pages',
            )
        self.items.extend(page.items)
        self.revision = self.revision or page.revision
        self.has_more = page.has_more
        self.after = page.last_key


def read_page(after: str, fields: Mapping[str, Any]) -> StorePage:
    """Return a page of items; raise ValueError if it leads nowhere."""
    page = StorePage(
        tuple(map(_item, fields['items'])),
        int(fields['AsOf']),
        bool(fields['HasMore']),
    )
    if page.has_more and page.last_key <= after:
        raise ValueError(
            'HasMore is set, but the page has no key after the previous page'
        )
    return page


def read_changes(fields: Mapping[str, Any]) -> StoreChanges:
    """Return the last change of each key."""
    # A key may be written and removed within one reply: its last event counts.
    last = {str(event['Key']): event for event in fields['events']}
    written = [one for one in last.values() if not one.get('Deleted')]
    removed = [key for key, one in last.items() if one.get('Deleted')]
    return StoreChanges(
        tuple(map(_item, written)), tuple(removed), int(fields['AsOf'])
    )
