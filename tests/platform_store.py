"""Imitate the platform's key-value store."""

import json
from base64 import b64encode
from functools import partial
from urllib.parse import parse_qsl

import trio
from attrs import define, field

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import HttpRequest

HISTORY_EVENTS = 1000


@define(eq=False)
class PlatformStoreStandIn:
    """Serve keys, a history of their changes, and leases."""

    revision: int = 1
    items: dict[str, dict] = field(factory=dict)
    events: list[dict] = field(factory=list)
    leases: dict[int, float] = field(factory=dict)
    ttl_seconds: dict[int, float] = field(factory=dict)
    oldest: int = 1
    # Unless it is 0, each call is answered with this status.
    refuse_with: int = 0
    calls: int = 0
    changed: trio.Event = field(factory=trio.Event)

    def write(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write a value."""
        self.revision += 1
        item = {
            'Key': key,
            'Value': b64encode(stored).decode(),
            'Revision': self.revision,
            'CreatedRev': self.revision,
            'Lease': lease,
        }
        self.items[key] = item
        self.record_event(item)
        return self.revision

    def write_json(self, key: str, fields: object) -> int:
        """Write a value as JSON."""
        return self.write(key, json.dumps(fields).encode())

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key, None)
        self.record_event(
            {'Key': key, 'Revision': self.revision, 'Deleted': True}
        )

    def record_event(self, event: dict) -> None:
        """Add an event to the history and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = trio.Event()

    def forget_history(self) -> None:
        """Discard all events so far."""
        self.oldest = self.revision
        self.events.clear()
        self.changed.set()
        self.changed = trio.Event()

    def expire(self, now: float) -> None:
        """End leases that were not renewed in time."""
        ended = [lease for lease, end in self.leases.items() if end <= now]
        for lease in ended:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        gone = [
            key for key, item in self.items.items() if item['Lease'] == lease
        ]
        for key in gone:
            self.remove(key)

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer one call."""
        self.calls += 1
        self.expire(trio.current_time())
        if self.refuse_with:
            await answer.send_whole(self.refuse_with, [], b'')
            return
        path, _, query = request.target.decode().partition('?')
        parameters = dict(parse_qsl(query, keep_blank_values=True))
        name, _, argument = path.removeprefix('/').partition('/')
        fields = json.loads(request.body) if request.body else {}
        calls = {
            'kv-range': partial(self.range, parameters),
            'kv-txn': partial(self.change, fields),
            'kv-lease': partial(self.grant, fields),
            'kv-keep': partial(self.keep, argument),
            'kv-lease-end': partial(self.revoke, argument),
        }
        if name == 'kv-watch':
            status, reply = await self.watch(parameters)
        else:
            status, reply = calls[name]()
        body = json.dumps(reply).encode()
        await answer.send_whole(status, [], body)

    def range(self, parameters: dict[str, str]) -> tuple[int, dict]:
        """Answer a page of items; it is short, so that tests get several."""
        after = parameters.get('after', '')
        prefix = parameters.get('Prefix', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:3]]
        more = len(keys) > len(page)
        return 200, {'items': page, 'HasMore': more, 'AsOf': self.revision}

    async def watch(self, parameters: dict[str, str]) -> tuple[int, dict]:
        """Answer with the changes after a revision, once there are some."""
        after = int(parameters['after'])
        with trio.move_on_after(int(parameters['WaitMs']) / 1000):
            while after >= self.oldest and self.revision <= after:
                await self.changed.wait()
        if after < self.oldest:
            return 410, {}
        found = [one for one in self.events if one['Revision'] > after]
        return 200, {'events': found, 'AsOf': self.revision}

    def change(self, fields: dict) -> tuple[int, dict]:
        """Apply a transaction if its conditions hold."""
        for row in fields['IfRevision']:
            item = self.items.get(row['Key'], {'Revision': 0})
            if item['Revision'] != row['Revision']:
                return 412, {'items': []}
        for put in fields['Puts']:
            if put['Lease'] and put['Lease'] not in self.leases:
                return 404, {}
            self.write(put['Key'], b'', put['Lease'])
            self.items[put['Key']]['Value'] = put['Value']
        return 200, {'Revision': self.revision}

    def grant(self, fields: dict) -> tuple[int, dict]:
        """Grant a lease."""
        lease = 1000 + len(self.leases) + self.calls
        self.ttl_seconds[lease] = fields['TtlMs'] / 1000
        self.leases[lease] = trio.current_time() + self.ttl_seconds[lease]
        return 200, {'Lease': lease, 'TtlMs': fields['TtlMs']}

    def keep(self, argument: str) -> tuple[int, dict]:
        """Renew a lease."""
        lease = int(argument)
        if lease not in self.leases:
            return 404, {}
        ttl_seconds = self.ttl_seconds[lease]
        self.leases[lease] = trio.current_time() + ttl_seconds
        return 200, {'TtlMs': int(ttl_seconds * 1000)}

    def revoke(self, argument: str) -> tuple[int, dict]:
        """End a lease."""
        self.end_lease(int(argument))
        return 200, {}
