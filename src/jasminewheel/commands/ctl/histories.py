"""Audit the records stored by stopped history processes."""

from collections.abc import Iterable
from itertools import chain
from pathlib import Path

from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.program.records import decode_record
from jasminewheel._internal.replication.audit import (
    AuditReport,
    audit_records,
    read_folder,
)
from jasminewheel._internal.wire.gen.program.ttypes import CallStarted
from jasminewheel.errors import JasminewheelError

# Each slot has three replicas.
MAJORITY = 2


def audit_folders(folders: Iterable[Path]) -> AuditReport:
    """Audit the data folders of all histories; all must be stopped."""
    stored = chain.from_iterable(map(read_folder, folders))
    return audit_records(stored, MAJORITY, started_attempt)


def started_attempt(entry: Entry) -> str | None:
    """Return the call attempt that a record starts; None for others."""
    try:
        record = decode_record(entry)
    except JasminewheelError:
        return None
    if not isinstance(record, CallStarted):
        return None
    attempt = (record.request_id, record.attempt, record.generation)
    return '/'.join(map(str, attempt))


def report_lines(report: AuditReport) -> list[str]:
    """Return the number of checked items and one line per violation."""
    counted = f'{report.logs} logs, {report.records} records'
    return [
        f'{counted}, {report.owners} ownerships',
        *report.problems,
        f'{len(report.problems)} violations',
    ]
