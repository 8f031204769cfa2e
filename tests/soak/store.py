"""The platform's store as each process sees it through its own links."""

import json
from base64 import b64decode, b64encode
from functools import partial

from attrs import define, evolve, field

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import Headers
from jasminewheel._internal.web.request_parser import HttpRequest
from tests.platform_fleet import PlatformFleet
from tests.soak.links import Links


@define(eq=False)
class HeldAnswer:
    """Hold an answer instead of sending it."""

    status: int = 0
    body: bytes = b''

    async def send_whole(
        self, status: int, _headers: Headers, body: bytes
    ) -> None:
        """Hold the answer."""
        self.status = status
        self.body = body


@define(eq=False)
class StoreViews:
    """Serve the store to each process at an address of its own."""

    fleet: PlatformFleet
    links: Links
    # Every n-th answer is lost after its effect; 0 loses none.
    lose_each: int = 0
    answers: int = field(default=0)

    async def open(self, asker: str) -> str:
        """Return where a process reaches the store."""
        address = await self.fleet.serve(partial(self.handle, asker))
        self.links.add('store', address)
        return self.links.way(asker, address)

    async def handle(
        self, asker: str, request: HttpRequest, answer: AnswerWriter
    ) -> None:
        """Answer one call of a process."""
        held = HeldAnswer()
        told = evolve(request, body=self.told(request.body))
        await self.fleet.store.handle(told, held)
        self.answers += 1
        if self.lose_each and self.answers % self.lose_each == 0:
            return
        body = self.shown(asker, held.body)
        await answer.send_whole(held.status, [], body)

    def told(self, body: bytes) -> bytes:
        """Return a call's body with real addresses in its values."""
        return _with_values(body, 'Puts', self.links.told)

    def shown(self, asker: str, body: bytes) -> bytes:
        """Return an answer's body with the asker's addresses."""
        show = partial(self.links.shown, asker)
        return _with_values(_with_values(body, 'items', show), 'events', show)


def _with_values(body: bytes, rows: str, change) -> bytes:
    fields = json.loads(body) if body else {}
    written = [row for row in fields.get(rows, ()) if not row.get('Deleted')]
    for row in written:
        row['Value'] = _changed(row['Value'], change)
    return json.dumps(fields).encode()


def _changed(stored: str, change) -> str:
    text = b64decode(stored).decode()
    return b64encode(change(text).encode()).decode()
