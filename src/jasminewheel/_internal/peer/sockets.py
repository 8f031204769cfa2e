"""Set socket options that detect unresponsive connections early."""

import errno
import socket
from collections.abc import Awaitable, Callable

import trio

# A connection is closed if sent data stays unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# An idle connection is closed after two unanswered keep-alive probes.
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Raised by a stream that either end has closed or that broke.
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
    """Accept until cancelled; report the first bound port by task_status."""
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(accept, listeners)


def is_no_response(error: BaseException | None) -> bool:
    """Return whether an error, or a cause of it, is a missing response.

    These are timeouts and unreachable hosts or networks; a refused or reset
    connection is a response.
    """
    if error is None:
        return False
    if isinstance(error, trio.TooSlowError):
        return True
    if isinstance(error, OSError) and error.errno in _NO_RESPONSE_ERRNOS:
        return True
    return is_no_response(error.__cause__)


def set_socket_options(stream_socket: trio.socket.SocketType) -> None:
    """Send small messages without delay and detect unreachable peers."""
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
