"""Set socket options that show silent connections early."""

import errno
import socket
from collections.abc import Awaitable, Callable

import trio

# A peer that acknowledges nothing for this long is taken as gone.
USER_TIMEOUT_MS = 3000
# Two of these probes without an answer end a silent connection.
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# What a stream raises when its other end, or this one, is gone.
BROKEN_STREAM_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
_NO_RESPONSE_ERRNOS = frozenset(
    (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
)


async def accept_on(
    listeners: list[trio.SocketListener],
    accept: Callable[[trio.SocketStream], Awaitable[None]],
    task_status: trio.TaskStatus[int],
) -> None:
    """Accept until cancelled; the started value is the first bound port."""
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(accept, listeners)


def is_no_response(error: BaseException | None) -> bool:
    """Tell whether an error, or its cause, is that no sign came."""
    if error is None:
        return False
    if isinstance(error, trio.TooSlowError):
        return True
    if isinstance(error, OSError) and error.errno in _NO_RESPONSE_ERRNOS:
        return True
    return is_no_response(error.__cause__)


def set_socket_options(stream_socket: trio.socket.SocketType) -> None:
    """Send small messages at once and notice a peer that vanished."""
    tcp = socket.IPPROTO_TCP
    stream_socket.setsockopt(tcp, socket.TCP_NODELAY, 1)
    stream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream_socket.setsockopt(
        tcp, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS
    )
    stream_socket.setsockopt(
        tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    stream_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
