"""Stand in for the platform's metadata store (PROTOCOL.md)."""

import asyncio
import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

from common.http import Request, Responder, Silence

# How often leases are checked.
LEASE_CHECK_SECONDS = 0.05
PAGE_ITEMS = 500
HISTORY_EVENTS = 4000

Reply = tuple[int, dict]


@dataclass
class Store:
    """Serve keys, their history and leases; nothing acknowledged is lost."""

    revision: int = 1
    items: dict[str, dict] = field(default_factory=dict)
    events: list[dict] = field(default_factory=list)
    # The time at which each lease ends, and its length.
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    # Set and replaced at each change.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Returns after how many seconds a txn takes effect whose answer is lost,
    # or None if it is answered at once.
    late_seconds: Callable[[dict], float | None] = lambda _fields: None
    # Called after each txn that took effect.
    after_change: Callable[[], None] = lambda: None
    log: Callable[[str], None] = lambda _line: None
    pending: set[asyncio.Task] = field(default_factory=set)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call."""
        query = dict(
            parse_qsl(
                request.target.partition('?')[2], keep_blank_values=True
            )
        )
        fields = json.loads(request.body) if request.body else {}
        name, _, argument = request.path.removeprefix('/').partition('/')
        if name == 'kv-watch':
            status, reply = await self.watch(query)
        elif name == 'kv-txn':
            await self.lose_answer(fields)
            status, reply = self.change(fields)
        else:
            calls = {
                'kv-key': lambda: self.item(query),
                'kv-range': lambda: self.page(query),
                'kv-lease': lambda: self.grant(fields),
                'kv-keep': lambda: self.keep(int(argument)),
                'kv-lease-end': lambda: self.end_call(int(argument)),
            }
            status, reply = calls[name]()
        await responder.whole(
            status,
            {'Content-Type': 'application/json'},
            json.dumps(reply).encode(),
        )

    async def lose_answer(self, fields: dict) -> None:
        """Lose the answer of a chosen txn; it takes effect later."""
        seconds = self.late_seconds(fields)
        if seconds is None:
            return
        task = asyncio.create_task(self.change_later(fields, seconds))
        self.pending.add(task)
        raise Silence

    async def change_later(self, fields: dict, seconds: float) -> None:
        """Apply a txn after a time, if its condition still holds then."""
        await asyncio.sleep(seconds)
        status, _ = self.change(fields)
        keys = [put['Key'] for put in fields.get('Puts', ())]
        self.log(f'store: late txn on {keys} ends with {status}')

    async def end_leases(self) -> None:
        """End leases that were not renewed, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            now = loop.time()
            for lease, (end, _) in list(self.leases.items()):
                if end <= now:
                    self.end_lease(lease)

    def item(self, query: dict[str, str]) -> Reply:
        """Return one item."""
        found = self.items.get(query['Key'])
        if found is None:
            return 404, {'AsOf': self.revision}
        return 200, {**found, 'AsOf': self.revision}

    def page(self, query: dict[str, str]) -> Reply:
        """Return a page of items."""
        after, prefix = query.get('after', ''), query.get('Prefix', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'HasMore': len(keys) > PAGE_ITEMS,
            'AsOf': self.revision,
        }

    async def watch(self, query: dict[str, str]) -> Reply:
        """Return the changes after a revision, once there are some."""
        after, prefix = int(query['after']), query.get('Prefix', '')
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get('WaitMs', 0)) / 1000
        while True:
            if self.events and after < self.events[0]['Revision'] - 1:
                return 410, {}
            found = [
                one
                for one in self.events
                if one['Revision'] > after and one['Key'].startswith(prefix)
            ]
            left = end - loop.time()
            if found or left <= 0:
                return 200, {'events': found, 'AsOf': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def change(self, fields: dict) -> Reply:
        """Apply a transaction if its conditions hold."""
        rows = fields.get('IfRevision') or ()
        current = [
            self.items.get(row['Key'], {'Key': row['Key'], 'Revision': 0})
            for row in rows
        ]
        if any(
            item['Revision'] != row['Revision']
            for item, row in zip(current, rows, strict=True)
        ):
            return 412, {'items': current}
        puts = fields.get('Puts') or ()
        if any(put['Lease'] and put['Lease'] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.put(put['Key'], put['Value'], put['Lease'])
        for key in fields.get('Remove') or ():
            self.remove(key)
        changed = self.revision
        self.after_change()
        self.wake()
        return 200, {'Revision': changed}

    def put(self, key: str, value: str, lease: int) -> None:
        """Store an item at the present revision."""
        created = self.items.get(key, {}).get('CreatedRev', self.revision)
        self.items[key] = {
            'Key': key,
            'Value': value,
            'Revision': self.revision,
            'CreatedRev': created,
            'Lease': lease,
        }
        self.events.append(self.items[key])
        del self.events[:-HISTORY_EVENTS]

    def remove(self, key: str) -> None:
        """Remove an item at the present revision."""
        if self.items.pop(key, None):
            self.events.append(
                {'Key': key, 'Revision': self.revision, 'Deleted': True}
            )

    def wake(self) -> None:
        """Wake the waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def grant(self, fields: dict) -> Reply:
        """Grant a lease."""
        lease = 100000 + self.revision * 100 + len(self.leases)
        while lease in self.leases:
            lease += 1
        seconds = max(1000, fields['TtlMs']) / 1000
        now = asyncio.get_running_loop().time()
        self.leases[lease] = (now + seconds, seconds)
        return 200, {'Lease': lease, 'TtlMs': int(seconds * 1000)}

    def keep(self, lease: int) -> Reply:
        """Renew a lease."""
        if lease not in self.leases:
            return 404, {}
        _, seconds = self.leases[lease]
        now = asyncio.get_running_loop().time()
        self.leases[lease] = (now + seconds, seconds)
        return 200, {'TtlMs': int(seconds * 1000)}

    def end_call(self, lease: int) -> Reply:
        """End a lease on request."""
        if lease not in self.leases:
            return 404, {}
        self.end_lease(lease)
        return 200, {}

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        gone = [key for key, one in self.items.items() if one['Lease'] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.remove(key)
            self.wake()

    def write(self, key: str, fields: object) -> int:
        """Write a document as the operator or a runner does."""
        value = b64encode(json.dumps(fields).encode()).decode()
        self.revision += 1
        self.put(key, value, 0)
        self.wake()
        return self.revision

    def read(self, key: str) -> dict | None:
        """Return a stored document."""
        found = self.items.get(key)
        return json.loads(b64decode(found['Value'])) if found else None
