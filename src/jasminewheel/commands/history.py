"""Run a history process, which stores records on one disk."""

import logging
from functools import partial
from pathlib import Path

import trio

from jasminewheel._internal.events import frame
from jasminewheel._internal.fleet.fleet import FleetAddresses
from jasminewheel._internal.fleet.opening import starting_member
from jasminewheel._internal.history.disk import DiskLog
from jasminewheel._internal.history.fence_guard import FenceGuard
from jasminewheel._internal.history.journal import Compactor, Journal
from jasminewheel._internal.history.service import history_handlers
from jasminewheel._internal.history.settings import HistorySettings
from jasminewheel._internal.history.state import DiskState
from jasminewheel._internal.membership.member import HISTORY
from jasminewheel._internal.observability.logs import start_logging
from jasminewheel._internal.observability.tracing import start_tracing
from jasminewheel._internal.operations.participant import open_member
from jasminewheel._internal.peer.key import load_key
from jasminewheel._internal.process import run_process
from jasminewheel._internal.settings.loader import load_settings

_LOGGER = logging.getLogger(__name__)


def run_history(settings: HistorySettings) -> int:
    """Serve until SIGTERM; return the exit code of the process."""
    start_logging(settings.member, settings.log_level)
    trace_file = Path(settings.trace_file) if settings.trace_file else None
    start_tracing(settings.member, trace_file)
    return run_process(partial(serve_history, settings))


def read_settings(path: Path) -> HistorySettings:
    """Load the settings of a history; raise SettingsError if invalid."""
    return load_settings(path, HistorySettings)


async def serve_history(settings: HistorySettings, stop: trio.Event) -> None:
    """Load the stored records, then serve peers until stop is set."""
    with DiskLog(Path(settings.data_folder), settings.quota_bytes) as disk:
        journal = Journal(disk, DiskState(disk.read_head))
        journal.load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            compactor = Compactor(journal, settings.compact_seconds)
            nursery.start_soon(compactor.run)
            gate = FenceGuard(journal, settings.member)
            await serve_peers(settings, gate, stop)
            # Safe to cancel: requests still in progress are unacknowledged.
            nursery.cancel_scope.cancel()


async def serve_peers(
    settings: HistorySettings,
    gate: FenceGuard,
    stop: trio.Event,
) -> None:
    """Serve peers as a member of the fleet until stop is set."""
    member = starting_member(
        settings.member,
        settings.zone,
        settings.region,
        (HISTORY,),
    )
    opened = open_member(
        member,
        load_key(Path(settings.key_file)),
        settings.store_url,
        FleetAddresses(settings.peers),
        stop,
    )
    async with opened as joined, trio.open_nursery() as nursery:
        server = joined.server(history_handlers(gate, settings.zone))
        port = await nursery.start(
            server.serve, settings.peer_host, settings.peer_port
        )
        joined.fleet.set_peer_address(settings.peer_address(port))
        nursery.start_soon(joined.run, settings.statsd)
        if settings.port_file:
            write_port(Path(settings.port_file), port)
        frame.STARTED.log(_LOGGER, port=port, replica=gate.replica)
        await stop.wait()
        await joined.fleet.announce_left()
        nursery.cancel_scope.cancel()


def write_port(path: Path, port: int) -> None:
    """Write the port atomically, so that no reader gets part of it."""
    draft = path.with_suffix('.new')
    draft.write_text(str(port), encoding='ascii')
    draft.replace(path)
