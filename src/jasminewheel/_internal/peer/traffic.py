"""Count the frames and bytes exchanged with peers."""

from attrs import define


@define
class Traffic:
    """Count frames and bytes since the start of the process."""

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0

    def count_sent(self, count: int) -> None:
        """Add a sent frame of `count` bytes."""
        self.frames_sent += 1
        self.bytes_sent += count

    def count_received(self, count: int) -> None:
        """Add a received frame of `count` bytes."""
        self.frames_received += 1
        self.bytes_received += count


TRAFFIC = Traffic()
