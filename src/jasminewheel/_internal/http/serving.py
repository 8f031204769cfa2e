"""Serve an application over HTTP until a graceful shutdown."""

import logging
import socket
from functools import partial
from pathlib import Path

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

_BACKLOG = 1024
# Longer than clients' pools keep an idle connection, so that clients rarely
# send a request on a connection that the server is closing.
_KEEP_ALIVE_SECONDS = 75
_REQUESTS_PER_CONNECTION = 1_000_000
# The kernel closes a connection whose client accepts no data for this long.
_STALLED_CLIENT_TIMEOUT_MS = 30_000
GRACE_SECONDS = 30.0


async def serve_app(
    app: QuartTrio,
    host: str,
    port: int,
    *,
    shutdown: trio.Event,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    grace_seconds: float = GRACE_SECONDS,
) -> None:
    """Serve app until shutdown; report the port through `task_status`.

    After `shutdown` no connection is accepted, requests in progress have
    `grace_seconds` to end, and idle connections are closed.
    """
    # The library's default would truncate long streams.
    app.config['RESPONSE_TIMEOUT'] = None
    listener = _listen(host, port)
    bound_port = listener.getsockname()[1]
    config = _config(listener.detach(), grace_seconds)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            partial(serve, app, config, shutdown_trigger=shutdown.wait),
        )
        task_status.started(bound_port)


def write_port(port_file: Path, port: int) -> None:
    """Write the port atomically, so that readers never see a partial file."""
    partial_file = port_file.with_name(f'{port_file.name}.partial')
    partial_file.write_text(f'{port}\n', encoding='ascii')
    partial_file.replace(port_file)


def _listen(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    # Accepted connections inherit these options.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _STALLED_CLIENT_TIMEOUT_MS,
    )
    listener.bind((host, port))
    return listener


def _config(listener_number: int, grace_seconds: float) -> Config:
    config = Config()
    config.bind = [f'fd://{listener_number}']
    config.backlog = _BACKLOG
    config.graceful_timeout = grace_seconds
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger('hypercorn.error')
    config.errorlog.setLevel(logging.WARNING)
    return config
