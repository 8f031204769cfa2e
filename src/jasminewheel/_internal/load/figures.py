"""Measure the overhead of the fleet over direct calls of its targets."""

import secrets
from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import Any

import httpx
import trio
from attrs import asdict, define, field, frozen

from jasminewheel._internal.http.sse import ServerSentEvent
from jasminewheel._internal.load.answer import StreamedAnswer, collect_answer
from jasminewheel._internal.load.client import CallerClient
from jasminewheel._internal.load.conversation import write_text
from jasminewheel._internal.load.records import Durations
from jasminewheel._internal.load.workload import ProgramClass, ToolUse
from jasminewheel._internal.targets.engine import (
    EngineClient,
    EngineRequest,
    EngineToken,
)

_KIB_PER_MIB = 1024
_RANDOM_BYTES = 6
ANSWER_TOKENS = 40
PROMPT_TOKENS = 100
ANSWER_PRIORITY = 9


@frozen
class FleetUnderTest:
    """Represent the entries, their processes and the targets measured."""

    entries: tuple[str, ...]
    process_ids: tuple[int, ...]
    engine: str
    service: str
    model_class: ProgramClass
    lookup: ToolUse
    lookup_key: str


@define(eq=False)
class StreamTimes:
    """Collect the token times of streamed answers."""

    first_token: Durations = field(factory=Durations)
    between_tokens: Durations = field(factory=Durations)

    def add(self, answer: StreamedAnswer) -> None:
        """Add the token times of one answer."""
        self.first_token.add(answer.first_token_seconds or 0)
        for gap in answer.token_gaps:
            self.between_tokens.add(gap)


def new_id() -> str:
    """Return a new random identifier."""
    return secrets.token_hex(_RANDOM_BYTES)


class OverheadDriver:
    """Make the same calls directly and through entries."""

    def __init__(
        self,
        subject: FleetUnderTest,
        http: httpx.AsyncClient,
        engine: EngineClient,
    ) -> None:
        """Create clients that use the entries round-robin."""
        self.subject = subject
        self.http = http
        self.engine = engine
        key = subject.model_class.key
        self.models = CallerClient(http, subject.entries, key)
        self.lookups = CallerClient(http, subject.entries, subject.lookup_key)

    async def time_direct_lookup(self) -> float:
        """Return the duration of a direct call of the service, in seconds."""
        started_at = trio.current_time()
        service = self.subject.service
        operation = self.subject.lookup.operation
        answer = await self.http.post(
            f'{service}/v1/call/{operation}',
            json={'order': 'direct'},
            headers={'Idempotency-Key': new_id()},
        )
        answer.raise_for_status()
        return trio.current_time() - started_at

    async def time_lookup(self, client: CallerClient | None = None) -> float:
        """Return the duration of a plain call through an entry, in seconds."""
        started_at = trio.current_time()
        caller = client or self.lookups
        await caller.post('/v1/calls', new_id(), self.lookup_body())
        return trio.current_time() - started_at

    def lookup_body(self) -> Mapping[str, Any]:
        """Return the body of a plain call."""
        return {
            'target': self.subject.lookup.target,
            'operation': self.subject.lookup.operation,
            'input': {'order': 'entry'},
            'repeatable': True,
        }

    def unique_messages(self) -> list[dict[str, str]]:
        """Return unique messages, so that no cached prefix matches."""
        return [{'role': 'user', 'content': _unique_text()}]

    async def stream_direct(self) -> StreamedAnswer:
        """Return an answer streamed directly from the engine."""
        request = EngineRequest(
            new_id(),
            self.subject.model_class.model,
            self.unique_messages(),
            ANSWER_TOKENS,
            ANSWER_PRIORITY,
        )
        answer = StreamedAnswer(trio.current_time())
        async with self.engine.generate(request) as replies:
            async for reply in replies:
                if isinstance(reply, EngineToken):
                    event = ServerSentEvent('token', asdict(reply))
                    answer.add_event(event, trio.current_time())
        return answer

    async def stream(self) -> StreamedAnswer:
        """Return an answer streamed through an entry, in a new program."""
        program = await self.open_program()
        body = {
            'target': self.subject.model_class.target,
            'input': {
                'messages': self.unique_messages(),
                'max_tokens': ANSWER_TOKENS,
                'model': self.subject.model_class.model,
            },
            'repeatable': True,
            'stream': True,
        }
        answer = await collect_answer(self.models, program, new_id(), body)
        await self.models.delete(f'/v1/programs/{program}')
        return answer

    async def open_program(self) -> str:
        """Open a program and return its identifier."""
        opened = await self.models.post('/v1/programs', new_id(), {})
        return opened.fields['program']

    async def measure_request_rate(self, clients: int, seconds: float) -> float:
        """Return the plain calls per second that one entry completes."""
        entry = self.subject.entries[:1]
        caller = CallerClient(self.http, entry, self.subject.lookup_key)
        done: list[float] = []
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for _ in range(clients):
                    nursery.start_soon(self._repeat, caller, done)
        return len(done) / seconds

    async def _repeat(self, caller: CallerClient, done: list[float]) -> None:
        while True:
            done.append(await self.time_lookup(caller))


def resident_mebibytes(process_ids: tuple[int, ...]) -> float:
    """Return the total resident memory of the processes, in MiB."""
    return sum(map(_resident_kib, process_ids)) / _KIB_PER_MIB


def _resident_kib(process_id: int) -> int:
    status = Path(f'/proc/{process_id}/status').read_text(encoding='ascii')
    line = next(one for one in status.splitlines() if one.startswith('VmRSS:'))
    return int(line.split()[1])


def _unique_text() -> str:
    unique = new_id()
    return unique + write_text(Random(unique), PROMPT_TOKENS)
