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
class CapturedAnswer:
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
class StoreProxy:
    """Serve the store to each process at an address of its own."""

    fleet: PlatformFleet
    links: Links
    # Every n-th answer is lost after its effect; 0 loses none.
    lose_every: int = 0
    answers: int = field(default=0)

    async def open_address(self, process_name: str) -> str:
        """Return where a process reaches the store."""
        address = await self.fleet.serve(partial(self.handle, process_name))
        self.links.add_target('store', address)
        return self.links.proxied_address(process_name, address)

    async def handle(
        self, process_name: str, request: HttpRequest, answer: AnswerWriter
    ) -> None:
        """Answer one call of a process."""
        captured = CapturedAnswer()
        translated = evolve(
            request, body=self.with_real_addresses(request.body)
        )
        await self.fleet.store.handle(translated, captured)
        self.answers += 1
        if self.lose_every and self.answers % self.lose_every == 0:
            return
        body = self.with_proxied_addresses(process_name, captured.body)
        await answer.send_whole(captured.status, [], body)

    def with_real_addresses(self, body: bytes) -> bytes:
        """Return a call's body with real addresses in its values."""
        return _translate_values(body, 'Puts', self.links.with_real_addresses)

    def with_proxied_addresses(self, process_name: str, body: bytes) -> bytes:
        """Return an answer's body with the asker's addresses."""
        translate = partial(self.links.with_proxied_addresses, process_name)
        return _translate_values(
            _translate_values(body, 'items', translate), 'events', translate
        )


def _translate_values(body: bytes, rows: str, translate) -> bytes:
    fields = json.loads(body) if body else {}
    put_rows = [row for row in fields.get(rows, ()) if not row.get('Deleted')]
    for row in put_rows:
        row['Value'] = _translated(row['Value'], translate)
    return json.dumps(fields).encode()


def _translated(stored: str, translate) -> str:
    text = b64decode(stored).decode()
    return b64encode(translate(text).encode()).decode()
