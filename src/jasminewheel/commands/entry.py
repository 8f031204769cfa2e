"""Run an entry process."""

from functools import partial
from pathlib import Path

from jasminewheel._internal.entry.process import run_entry
from jasminewheel._internal.entry.settings import EntrySettings
from jasminewheel._internal.observability.logs import start_logging
from jasminewheel._internal.observability.tracing import start_tracing
from jasminewheel._internal.process import run_process
from jasminewheel._internal.settings.loader import load_settings


def read_settings(path: Path) -> EntrySettings:
    """Load the settings of an entry; raise SettingsError if invalid."""
    return load_settings(path, EntrySettings)


def serve_entry(settings: EntrySettings) -> int:
    """Serve until SIGTERM; return the exit code of the process."""
    start_logging(settings.member, settings.log_level)
    trace_file = Path(settings.trace_file) if settings.trace_file else None
    start_tracing(settings.member, trace_file, settings.otlp)
    return run_process(partial(run_entry, settings))
