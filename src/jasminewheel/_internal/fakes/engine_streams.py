"""Buffer the streams of answers, so that a caller can resume one."""

from collections.abc import AsyncIterator

import trio
from attrs import define, field

from jasminewheel._internal.fakes.answers import tokens_from
from jasminewheel._internal.fakes.engine_sequence import Sequence
from jasminewheel._internal.targets.engine import EngineToken, EngineUsage

_MAX_STREAMS = 10_000


@define(eq=False)
class AnswerStream:
    """Buffer the tokens of an answer generated so far."""

    sequence: Sequence
    tokens: list[EngineToken] = field(factory=list)
    usage: EngineUsage | None = None
    changed: trio.Event = field(factory=trio.Event)

    def add(self, token: EngineToken) -> None:
        """Append a token and wake up the readers."""
        self.tokens.append(token)
        self.wake_readers()

    def end(self, finish: str) -> None:
        """End the stream with its usage."""
        if self.usage:
            return
        self.usage = EngineUsage(
            prompt_tokens=self.sequence.prompt_tokens,
            cached_tokens=self.sequence.cached_tokens,
            completion_tokens=self.sequence.position,
            finish=finish,
        )
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake up the readers."""
        self.changed.set()
        self.changed = trio.Event()

    async def read(self, offset: int) -> AsyncIterator[EngineToken]:
        """Yield the tokens from a character offset until the end."""
        index = 0
        while True:
            # More tokens may be added while the consumer handles these.
            available = self.tokens[index:]
            index += len(available)
            for token in tokens_from(available, offset):
                yield token
            if index == len(self.tokens) and self.usage:
                return
            await self.wait_for_more(index)

    async def wait_for_more(self, count: int) -> None:
        """Wait until there are more than `count` tokens or the stream ends."""
        while len(self.tokens) == count and not self.usage:
            await self.changed.wait()


@define
class StreamTable:
    """Index streams by request identifier; evict the oldest."""

    streams: dict[str, AnswerStream] = field(factory=dict)

    def add(self, stream: AnswerStream) -> None:
        """Add a stream; it replaces an earlier run of the same request."""
        request_id = stream.sequence.request_id
        self.streams.pop(request_id, None)
        self.streams[request_id] = stream
        if len(self.streams) > _MAX_STREAMS:
            self.streams.pop(next(iter(self.streams)))

    def find(self, request_id: str) -> AnswerStream | None:
        """Return the stream of the request's newest run, if known."""
        return self.streams.get(request_id)
