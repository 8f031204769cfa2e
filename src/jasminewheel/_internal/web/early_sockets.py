"""Listen while the rest of the program is still being loaded.

Answers restarts: callers that come meanwhile wait for a part of a second,
where an address without a listener would refuse them.
"""

import socket
from collections.abc import Iterable

from jasminewheel._internal.address import split_address

# Callers that may wait for the program.
BACKLOG = 1024


class EarlySockets:
    """Hold listening sockets until their servers take them."""

    def __init__(self, addresses: Iterable[str] = ()) -> None:
        """Listen at the addresses that are free."""
        self.listening: dict[str, socket.socket] = {}
        for address in filter(None, addresses):
            self.open(address)

    def open(self, address: str) -> None:
        """Listen at an address; its server reports one that is taken."""
        try:
            self.listening[address] = socket.create_server(
                split_address(address), backlog=BACKLOG
            )
        except OSError:
            # Its server tries again, and ends the start with the error.
            self.listening.pop(address, None)

    def take(self, address: str) -> socket.socket | None:
        """Return the socket of an address for its server to own."""
        return self.listening.pop(address, None)
