"""Select the log lines that explain the handling of a request."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

from jasminewheel._internal.events.catalogue import state_change_numbers
from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.tables import fields_text, time_text

# State changes are shown from this long before the first matching line.
STATE_CHANGE_WINDOW_SECONDS = 10.0
_ENVELOPE_FIELDS = frozenset(('time', 'level', 'process', 'logger', 'event'))


@frozen
class LogLine:
    """Represent one structured log line."""

    at: float
    process: str
    event: int | None
    fields: dict[str, Any]

    def mentions(self, subject: str) -> bool:
        """Return whether a field of the line equals the subject."""
        return subject in self.fields.values()

    def to_text(self) -> str:
        """Return the line in readable form."""
        shown = {
            name: found
            for name, found in self.fields.items()
            if name not in _ENVELOPE_FIELDS
        }
        number = f'JW{self.event}' if self.event else ''
        where = f'{time_text(self.at)} {self.process}'
        return f'{where} {number} {fields_text(shown)}'


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the structured lines of files, and of all files in folders."""
    for path in _files(paths):
        with path.open(encoding='utf-8', errors='replace') as stream:
            yield from filter(None, map(_parse, stream))


def explain(subject: str, paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines that explain a subject, in order of time.

    These are the lines that mention it, and the state changes of the same
    processes up to its last line. Raise CommandError if no line mentions it.
    """
    lines = sorted(read_lines(paths), key=lambda line: line.at)
    matches = [line for line in lines if line.mentions(subject)]
    if not matches:
        raise CommandError(
            f'no log line mentions {subject}',
            ExitCode.missing,
            remedy='pass the logs of all processes from that time',
        )
    state_changes = state_change_numbers()
    processes = {line.process for line in matches}
    first = matches[0].at - STATE_CHANGE_WINDOW_SECONDS
    last = matches[-1].at
    return [
        line
        for line in lines
        if line in matches
        or (
            line.event in state_changes
            and line.process in processes
            and first <= line.at <= last
        )
    ]


def _files(paths: Iterable[Path]) -> Iterator[Path]:
    for path in paths:
        if path.is_dir():
            yield from sorted(one for one in path.rglob('*') if one.is_file())
        else:
            yield path


def _parse(text: str) -> LogLine | None:
    # A log collector may prefix the JSON object with its own text.
    start = text.find('{')
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    if not isinstance(fields, dict) or 'process' not in fields:
        return None
    return LogLine(
        float(fields.get('time', 0)),
        str(fields['process']),
        fields.get('event'),
        fields,
    )
