"""Run an entry as a process against the stand-ins of a platform fleet."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, contextmanager, suppress
from random import Random

import trio

from jasminewheel._internal.web.client import OutgoingRequest
from jasminewheel.errors import ConnectionLostError
from tests.platform_fleet import PlatformFleet, ask_once
from tests.soak.role_process import Node, RoleProcess

POLL_SECONDS = 0.01
KIBIBYTE = 1024


@asynccontextmanager
async def running_entry(
    fleet: PlatformFleet, limits: str = '', bounds: str = ''
) -> AsyncIterator[RoleProcess]:
    """Run an entry as a process, once it is ready."""
    # The ports are fixed; a random address lets several tests run at once.
    low, high = Random().sample(range(1, 255), 2)
    ip = f'127.{low}.{high}.1'
    node = Node(
        'entry-1',
        ip,
        'east-a',
        fleet.folder,
        fleet.store_address,
        limits=limits,
        bounds=bounds,
    )
    process = RoleProcess(node)
    with closing_process(process):
        process.start()
        request = OutgoingRequest(b'GET', b'/ready', [(b'Host', b'h')])
        status = 0
        while status != 200:
            await trio.sleep(POLL_SECONDS)
            with suppress(ConnectionLostError):
                status = (await ask_once(node.ready_address, request)).status
        yield process


@contextmanager
def closing_process(process: RoleProcess):
    """End a process in any case."""
    try:
        yield
    finally:
        process.end()


def peak_bytes(process: RoleProcess) -> int:
    """Return the highest resident memory of a process so far."""
    text = (process.proc_folder / 'status').read_text(encoding='ascii')
    peak = text.partition('VmHWM:')[2].split()[0]
    return int(peak) * KIBIBYTE
