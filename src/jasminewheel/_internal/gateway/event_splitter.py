"""Split a stream of server-sent events into whole events."""

from attrs import define, field, frozen

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
    """Give events as soon as they are whole."""

    rest: bytearray = field(factory=bytearray)

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that the received bytes complete."""
        self.rest += received
        *whole, rest = self.rest.split(_END)
        self.rest = rest
        return [StreamEvent.parse(bytes(raw + _END)) for raw in whole]
