"""Serve one disk to the owners of slots."""

import logging
import secrets
from functools import partial
from pathlib import Path

import trio

from jasminewheel._internal.events import frame
from jasminewheel._internal.history.disk import DiskLog
from jasminewheel._internal.history.gate import Gate
from jasminewheel._internal.history.journal import Compactor, Journal
from jasminewheel._internal.history.service import history_handlers
from jasminewheel._internal.history.settings import HistorySettings
from jasminewheel._internal.history.state import DiskState
from jasminewheel._internal.observability.logs import start_logging
from jasminewheel._internal.observability.tracing import start_tracing
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.key import load_key
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.process import run_process
from jasminewheel._internal.settings.loader import load_settings

_INCARNATION_BYTES = 8
_LOGGER = logging.getLogger(__name__)


def run_history(settings: HistorySettings) -> int:
    """Serve until SIGTERM; return the exit code."""
    start_logging(settings.member, settings.log_level)
    trace_file = Path(settings.trace_file) if settings.trace_file else None
    start_tracing(settings.member, trace_file)
    return run_process(partial(serve_history, settings))


def read_settings(path: Path) -> HistorySettings:
    """Return the file's settings; raise SettingsError if they are wrong."""
    return load_settings(path, HistorySettings)


async def serve_history(settings: HistorySettings, stop: trio.Event) -> None:
    """Load the disk, then serve peers until stop."""
    with DiskLog(Path(settings.data_folder), settings.quota_bytes) as disk:
        journal = Journal(disk, DiskState(disk.read_head))
        journal.load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            compactor = Compactor(journal, settings.compact_seconds)
            nursery.start_soon(compactor.run)
            gate = Gate(journal, settings.member)
            port = await nursery.start(serve_peers, settings, gate)
            frame.STARTED.log(_LOGGER, port=port, replica=gate.replica)
            await stop.wait()
            # Whatever is cancelled now was not acknowledged.
            nursery.cancel_scope.cancel()


async def serve_peers(
    settings: HistorySettings,
    gate: Gate,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Listen for peers until cancelled; the started value is the port."""
    identity = PeerIdentity(
        settings.member,
        secrets.token_hex(_INCARNATION_BYTES),
        settings.zone,
    )
    key = load_key(Path(settings.key_file))
    server = PeerServer(identity, key, history_handlers(gate, settings.zone))
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            server.serve, settings.peer_host, settings.peer_port
        )
        if settings.port_file:
            write_port(Path(settings.port_file), port)
        task_status.started(port)


def write_port(path: Path, port: int) -> None:
    """Write the port so that a reader never sees half of it."""
    draft = path.with_suffix('.new')
    draft.write_text(str(port), encoding='ascii')
    draft.replace(path)
