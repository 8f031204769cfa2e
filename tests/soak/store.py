"""The platform's store, served to each process with proxied addresses."""

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
    """Capture an answer instead of sending it."""

    status: int = 0
    body: bytes = b''

    async def send_whole(
        self, status: int, _headers: Headers, body: bytes
    ) -> None:
        """Capture the status and body."""
        self.status = status
        self.body = body


@define(eq=False)
class StoreProxy:
    """Serve the store to each process at a separate address."""

    fleet: PlatformFleet
    links: Links
    # Every n-th answer is dropped after the call took effect; 0 drops none.
    lose_every: int = 0
    answers: int = field(default=0)

    async def open_address(self, process_name: str) -> str:
        """Serve the store for a process, and return its address."""
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
        """Replace the proxied addresses in the values of a call."""
        return _translate_values(body, 'Puts', self.links.with_real_addresses)

    def with_proxied_addresses(self, process_name: str, body: bytes) -> bytes:
        """Replace the real addresses in the values of an answer."""
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
