"""Find free ports for the processes of a test."""

import secrets
import socket
from collections.abc import Iterator
from pathlib import Path

HOST = '127.0.0.1'
# Lower ports often belong to well-known services.
MIN_PORT = 15000
RANGE_PATH = Path('/proc/sys/net/ipv4/ip_local_port_range')


def outgoing_ports() -> range:
    """Return the ports that the kernel assigns to outgoing connections."""
    lowest, highest = map(int, RANGE_PATH.read_text(encoding='ascii').split())
    return range(lowest, highest + 1)


def free_port() -> int:
    """Return a free port that no outgoing connection can occupy."""
    return next(_FREE)


def _candidates() -> Iterator[int]:
    count = outgoing_ports().start - MIN_PORT
    # A random start avoids collisions with tests that run concurrently.
    first = secrets.randbelow(count)
    for step in range(count):
        port = MIN_PORT + (first + step) % count
        if _is_free(port):
            yield port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


_FREE = _candidates()
