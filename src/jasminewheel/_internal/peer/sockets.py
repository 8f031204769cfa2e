"""Set socket options that show silent connections early."""

import errno
import socket
from collections.abc import Awaitable, Callable

import trio

# A peer that acknowledges nothing for this long is taken as gone.
USER_TIMEOUT_MILLISECONDS = 3000
# Two of these probes without an answer end a silent connection.
PROBE_SECONDS = 1
PROBES = 2
# What a stream raises when its other end, or this one, is gone.
BROKEN_STREAM_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
_SILENT_ERRORS = frozenset(
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


def is_silence(error: BaseException | None) -> bool:
    """Tell whether an error, or its cause, is that no sign came."""
    if error is None:
        return False
    if isinstance(error, trio.TooSlowError):
        return True
    if isinstance(error, OSError) and error.errno in _SILENT_ERRORS:
        return True
    return is_silence(error.__cause__)


def tune(opened: trio.socket.SocketType) -> None:
    """Send small messages at once and notice a peer that vanished."""
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
