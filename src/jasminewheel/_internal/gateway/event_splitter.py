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
    """Hold one event as it came, and its data."""

    raw: bytes
    payload: bytes

    @classmethod
    def parse(cls, raw: bytes) -> 'StreamEvent':
        """Return the event of these bytes."""
        lines = [
            line.removeprefix(_DATA).removeprefix(b' ')
            for line in raw.split(b'\n')
            if line.startswith(_DATA)
        ]
        return cls(raw, b'\n'.join(lines))


@define(eq=False)
class EventSplitter:
    """Give events as soon as they are whole, up to the most events."""

    max_events: int = MAX_STREAM_EVENTS
    events: int = 0
    buffer: bytearray = field(factory=bytearray)
    searched_bytes: int = 0
    # An event came after the most events.
    overrun: bool = False

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that the received bytes complete."""
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
        # The first byte of an end may have come without the second.
        self.searched_bytes = max(0, len(self.buffer) - 1)
        return whole

    def check_limits(self) -> None:
        """Raise AnswerTooLongError if what is left is no part of a stream."""
        if self.overrun:
            raise AnswerTooLongError(
                f'a stream has more than {self.max_events} events'
            )
        if len(self.buffer) > EVENT_BYTES:
            raise AnswerTooLongError(
                f'an event of a stream has over {EVENT_BYTES} bytes'
            )
