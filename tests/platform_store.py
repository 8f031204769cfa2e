"""Imitate the platform's key-value store."""

import json
from base64 import b64encode
from functools import partial
from urllib.parse import parse_qsl

import trio
from attrs import define, field

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import HttpRequest
from tests.late_calls import LateCalls

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
    # Loses answers if it is set.
    late_calls: LateCalls | None = None

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

    def end_lease(self, lease: int | str) -> tuple[int, dict]:
        """End a lease and remove its keys."""
        lease = int(lease)
        self.leases.pop(lease, None)
        gone = [
            key for key, item in self.items.items() if item['Lease'] == lease
        ]
        for key in gone:
            self.remove(key)
        return 200, {}

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Answer one call."""
        target = request.target.decode()
        status, reply = await self.reply(target, request.body)
        body = b'' if reply is None else json.dumps(reply).encode()
        await answer.send_whole(status, [], body)

    async def reply(self, target: str, body: bytes) -> tuple[int, dict | None]:
        """Return the status and the fields of the answer to one call."""
        self.calls += 1
        self.expire(trio.current_time())
        if self.refuse_with:
            return self.refuse_with, None
        path, _, query = target.partition('?')
        parameters = dict(parse_qsl(query, keep_blank_values=True))
        name, _, argument = path.removeprefix('/').partition('/')
        fields = json.loads(body) if body else {}
        if name == 'kv-watch':
            return await self.watch(parameters)
        calls = {
            'kv-key': partial(_item, self.items, parameters),
            'kv-range': partial(self.range, parameters),
            'kv-txn': partial(self.change, fields),
            'kv-lease': partial(self.grant, fields),
            'kv-keep': partial(self.keep, argument),
            'kv-lease-end': partial(self.end_lease, argument),
        }
        if self.late_calls:
            await self.late_calls.hold(name, fields, calls[name])
        return calls[name]()

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
        self.expire(trio.current_time())
        rows = fields['IfRevision']
        current = [
            self.items.get(row['Key'], {'Key': row['Key'], 'Revision': 0})
            for row in rows
        ]
        expected = [row['Revision'] for row in rows]
        if [one['Revision'] for one in current] != expected:
            return 412, {'items': current}
        leases = {put['Lease'] for put in fields['Puts']} - {0}
        if leases - self.leases.keys():
            return 404, {}
        for put in fields['Puts']:
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


def _item(
    items: dict[str, dict], parameters: dict[str, str]
) -> tuple[int, dict]:
    found = items.get(parameters['Key'])
    return (200, found) if found else (404, {})
