"""Count what this process exchanges with its peers."""

from attrs import define


@define
class Traffic:
    """Hold frames and bytes since the start of the process."""

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0

    def sent(self, count: int) -> None:
        """Count a frame of so many bytes that was sent."""
        self.frames_sent += 1
        self.bytes_sent += count

    def received(self, count: int) -> None:
        """Count a frame of so many bytes that was received."""
        self.frames_received += 1
        self.bytes_received += count


TRAFFIC = Traffic()
