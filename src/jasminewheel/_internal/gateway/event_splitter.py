"""Split a stream of server-sent events into whole events."""

from attrs import define, field, frozen

from jasminewheel._internal.web.answer_limits import (
    EVENT_BYTES,
    MAX_STREAM_EVENTS,
)
from jasminewheel.errors import AnswerTooLongError

_END = b'\n\n'
_DATA = b'data:'


@frozen
class StreamEvent:
    """Represent one event as received, and its data."""

    raw: bytes
    payload: bytes

    @classmethod
    def parse(cls, raw: bytes) -> 'StreamEvent':
        """Return the event parsed from these bytes."""
        lines = [
            line.removeprefix(_DATA).removeprefix(b' ')
            for line in raw.split(b'\n')
            if line.startswith(_DATA)
        ]
        return cls(raw, b'\n'.join(lines))


@define(eq=False)
class EventSplitter:
    """Split a stream into complete events, up to max_events."""

    max_events: int = MAX_STREAM_EVENTS
    events: int = 0
    buffer: bytearray = field(factory=bytearray)
    searched_bytes: int = 0
    # Whether a complete event was received after max_events.
    overrun: bool = False

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Buffer received bytes; return the events that they complete."""
        self.buffer += received
        whole: list[StreamEvent] = []
        begin = 0
        end = self.buffer.find(_END, self.searched_bytes)
        while end >= 0 and self.events < self.max_events:
            end += len(_END)
            whole.append(StreamEvent.parse(bytes(self.buffer[begin:end])))
            self.events += 1
            begin = end
            end = self.buffer.find(_END, begin)
        self.overrun = end >= 0
        if begin:
            self.buffer = self.buffer[begin:]
        # The buffer may end with the first byte of a two-byte separator.
        self.searched_bytes = max(0, len(self.buffer) - 1)
        return whole

    def check_limits(self) -> None:
        """Raise AnswerTooLongError if the stream or an event is too long."""
        if self.overrun:
            raise AnswerTooLongError(f'stream exceeds {self.max_events} events')
        if len(self.buffer) > EVENT_BYTES:
            raise AnswerTooLongError(
                f'event of a stream exceeds {EVENT_BYTES} bytes'
            )
