"""Check the commands that work on local files only."""

import json

import pytest

from jasminewheel._internal.conversation.log_file import LogFile
from jasminewheel._internal.conversation.records import (
    StoredReservation,
    StoredTurn,
)
from jasminewheel._internal.conversation.segments import LogBlock
from jasminewheel._internal.events import conversation, gateway, store
from jasminewheel._internal.events.catalogue import event_areas
from jasminewheel.cli.ctl import app
from jasminewheel.commands.ctl.exit_codes import ExitCode
from tests.turn_replicas import reservation, turn

SETTINGS = """
NodeName = "front-1"
Ip = "10.1.0.38"
Zone = "a"
Region = "r"
PortRange = [7380,7395]
{extra}
[Zones]
a = "r"
[Platform]
Address = "10.200.1.7:8142"
"""


def _run(*words: str) -> int:
    return app(words, exit_on_error=False, result_action='return_value')


def _line(at: float, process: str, event: int, **fields: object) -> str:
    line = {'time': at, 'process': process, 'event': event, **fields}
    return f'{at} {process} {json.dumps(line)}\n'


def _explain_events(folder, capsys, lines) -> list[str]:
    """Explain request r1 from log lines; return the event numbers shown."""
    (folder / 'all.log').write_text(''.join(lines))
    assert _run('explain-log', 'r1', str(folder)) == ExitCode.done
    shown = capsys.readouterr().out.splitlines()
    return [line.split()[2] for line in shown]


def test_request_is_explained_with_its_beliefs(tmp_path, capsys):
    """Lines of the request are shown with state changes up to 10 s before."""
    lines = (
        _line(1.0, 'front-1', 1880, version=3),
        _line(50.0, 'front-1', 1850, problem='silent'),
        _line(51.0, 'front-2', 1850, problem='silent'),
        _line(52.0, 'front-1', 1872, request='r1', outcome='lost'),
        _line(52.1, 'front-1', 1871, request='r1', code='target-failed'),
        _line(52.2, 'front-1', 1870, request='r2'),
        'no json\n',
        '{broken\n',
    )
    assert _explain_events(tmp_path, capsys, lines) == [
        'JW1850',
        'JW1872',
        'JW1871',
    ]


@pytest.mark.parametrize(
    'event',
    [
        conversation.RELAY_USED,
        conversation.RELAY_FAILED,
        conversation.FILE_CLEANED,
        conversation.WRITE_SLOW,
        conversation.COPY_STARTED,
        conversation.COPIED_FROM,
        conversation.CLEANING_FAILED,
        store.LEASE_LOST,
        store.KNOWN_TAKEN,
        gateway.RUNNER_LISTED,
        gateway.TURN_NOT_STORED,
    ],
    ids=lambda event: str(event.number),
)
def test_no_belief_is_left_out_of_an_explanation(tmp_path, capsys, event):
    """Events that cut an entry off from its disks or delayed them are shown."""
    lines = (
        _line(50.0, 'front-1', event.number, replica='disk-1'),
        _line(52.0, 'front-1', 1871, request='r1'),
    )
    shown = _explain_events(tmp_path, capsys, lines)
    assert shown == [f'JW{event.number}', 'JW1871']


def test_events_declared_as_beliefs_are_explained_no_others(tmp_path, capsys):
    """Events are selected by their declaration, not by their number."""
    events = [one for area in event_areas() for one in area.events]
    lines = [_line(50.0, 'front-1', one.number) for one in events]
    lines.append(_line(52.0, 'front-1', 1, request='r1'))
    beliefs = [f'JW{one.number}' for one in events if one.state_change]
    assert _explain_events(tmp_path, capsys, lines) == [*beliefs, 'JW1']


def test_unknown_request_is_said_to_be_missing(tmp_path, capsys):
    """A request that no line mentions has an exit code of its own."""
    (tmp_path / 'all.log').write_text(_line(1.0, 'front-1', 1880))
    assert _run('explain-log', 'r9', str(tmp_path)) == ExitCode.missing
    assert 'r9' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('extra', 'problem'),
    [
        ('PortRange = 3', 'all.toml'),
        ('Seeds = 7', 'Seeds'),
        ('= broken', 'all.toml'),
    ],
)
def test_wrong_settings_are_named(tmp_path, capsys, extra, problem):
    """One line names the file and the invalid field or syntax error."""
    path = tmp_path / 'all.toml'
    path.write_text(SETTINGS.format(extra=extra))
    assert _run('check-node', str(path)) == ExitCode.usage
    shown = capsys.readouterr().err
    assert problem in shown
    assert len(shown.splitlines()) == 1


def test_good_settings_are_accepted(tmp_path, capsys):
    """Unknown fields are ignored."""
    path = tmp_path / 'all.toml'
    path.write_text(SETTINGS.format(extra='NewField = 3'))
    assert _run('check-node', str(path)) == ExitCode.done
    assert 'front-1' in capsys.readouterr().out


def test_missing_field_is_named(tmp_path, capsys):
    """The message names the required field that is absent."""
    path = tmp_path / 'all.toml'
    path.write_text('NodeName = "front-1"\n')
    assert _run('check-node', str(path)) == ExitCode.usage
    assert 'Ip is missing' in capsys.readouterr().err


def test_folder_with_a_torn_end_is_reported(tmp_path, capsys):
    """Complete entries are counted, and the bytes after the last of them."""
    log_file = LogFile.create(tmp_path, 1)
    written = (
        StoredTurn(turn('t2', 't1')),
        StoredReservation(reservation('t3', 5).to_wire()),
    )
    log_file.append(LogBlock.of(written).block)
    log_file.append(b'torn')
    log_file.close()
    assert _run('check-turns', str(tmp_path)) == ExitCode.done
    shown = capsys.readouterr().out
    assert 'turns: 1' in shown
    assert 'after the last whole entry: 4' in shown
    assert 'continued on other disks: 1' in shown
    assert _run('check-turns', str(tmp_path / 'none')) == ExitCode.missing
