"""Listen while the rest of the program is still being loaded.

During a restart, clients that connect wait for a fraction of a second; without
a listener their connections would be refused.
"""

import socket
from collections.abc import Iterable

from jasminewheel._internal.address import split_address

# Connections that may wait for the program.
BACKLOG = 1024


class EarlySockets:
    """Open listening sockets, for servers that start later."""

    def __init__(self, addresses: Iterable[str] = ()) -> None:
        """Listen at the addresses that are free."""
        self.listening: dict[str, socket.socket] = {}
        for address in filter(None, addresses):
            self.open(address)

    def open(self, address: str) -> None:
        """Listen at an address, unless it is in use."""
        try:
            self.listening[address] = socket.create_server(
                split_address(address), backlog=BACKLOG
            )
        except OSError:
            # The server binds the address again, and reports the error.
            self.listening.pop(address, None)

    def take(self, address: str) -> socket.socket | None:
        """Return the socket of an address and pass on its ownership."""
        return self.listening.pop(address, None)
