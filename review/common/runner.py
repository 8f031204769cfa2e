"""Stand in for runners of the two services (PROTOCOL.md)."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from common.http import Request, Responder
from common.store import Store

HEARTBEAT_SECONDS = 1.2


@dataclass
class Runner:
    """Answer requests meant for this runner, and record what ran."""

    runner_id: str
    service: str
    zone: str
    store: Store
    log: Callable[[str], None]
    slots: int = 96
    # Events of each stream, and the pause before each of them.
    events: int = 4
    pause_seconds: float = 0.01
    address: str = ''
    running: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    # Every request that ran, by its identifier.
    ran: dict[str, list[Request]] = field(default_factory=dict)

    def register(self, state: str = 'ready', seq: int = 1) -> None:
        """Write the runner's entry."""
        self.store.write(
            f'servers/{self.runner_id}',
            {
                'Service': self.service,
                'Address': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': state,
                'ColdLeftMs': 0,
                'Seq': seq,
                'born': self.born,
            },
        )

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        load = f'{self.running},0,{self.slots}'
        if request.path == '/health':
            fields = {'Instance-Id': self.runner_id, 'Server-Load': load}
            await responder.whole(200, fields)
            return
        call_id = request.headers.get('request-id', '')
        if request.headers.get('target-instance', self.runner_id) != (
            self.runner_id
        ):
            await responder.whole(421, {'Request-Id': call_id})
            return
        self.ran.setdefault(call_id, []).append(request)
        self.log(f'runner {self.runner_id}: runs {call_id} {request.target}')
        headers = {
            'Request-Id': call_id,
            'Response-Signature': f'sig.{self.runner_id}.{call_id}',
            'Server-Load': load,
        }
        self.running += 1
        try:
            await self.run(request, responder, call_id, headers)
        finally:
            self.running -= 1

    async def run(
        self,
        request: Request,
        responder: Responder,
        call_id: str,
        headers: dict[str, str],
    ) -> None:
        """Run a turn as a stream of events, or a plain call."""
        if 'token-usage' not in request.headers:
            await asyncio.sleep(self.pause_seconds)
            await responder.whole(200, headers, f'did {call_id}'.encode())
            return
        fields = {**headers, 'Content-Type': 'text/event-stream'}
        await responder.start(200, fields)
        for number in range(self.events):
            await asyncio.sleep(self.pause_seconds)
            event = f'id: {number}\ndata: {call_id}-{number}\n\n'
            await responder.chunk(event.encode())
        await responder.chunk(b'')
