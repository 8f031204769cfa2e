"""Set socket options of connections between peers."""

import socket

import trio

# A peer that acknowledges nothing for this long is taken as gone.
USER_TIMEOUT_MILLISECONDS = 15000


def tune(stream: trio.SocketStream) -> None:
    """Send small frames at once and notice a peer that vanished."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MILLISECONDS,
    )
