"""Check that the load tool detects broken promises and only those."""

import json
from io import StringIO

import pytest
import trio
from rich.console import Console

from jasminewheel._internal.load import counts
from jasminewheel._internal.load.arrivals import Bounds, draw_arrivals
from jasminewheel._internal.load.records import Promise
from jasminewheel._internal.load.workload import (
    Pause,
    ProgramClass,
    Span,
    SubAgents,
    ToolUse,
    Workload,
)
from jasminewheel.cli.load import app
from jasminewheel.commands.load import run_load
from tests.entry_double import EntryDouble

BOUNDS = Bounds(programs=6, seconds=5, grace_seconds=20)
CHAT = ProgramClass(
    'chat',
    'cafe',
    'key',
    1,
    target='guide',
    model='helper',
    turns=Span(1, 3),
    pause=Pause(0.01, 0.1, 0.02),
    tools=(ToolUse('desk', 'reserve'),),
    sub_agents=SubAgents(0.5),
)
DESK = ProgramClass('desk', 'cafe', 'key', 1, tools=CHAT.tools)


def drive(double: EntryDouble):
    """Return the report of a run against the entry double."""

    async def scenario():
        async with trio.open_nursery() as nursery:
            url = await nursery.start(double.serve)
            workload = Workload(
                'test', (CHAT, DESK), 50, 1, 0, (url,), (url,), (url,)
            )
            report = await run_load(
                workload, BOUNDS, 3, Console(file=StringIO())
            )
            nursery.cancel_scope.cancel()
            return report

    return trio.run(scenario)


def test_kept_promises_are_reported_with_percentiles():
    report = drive(EntryDouble())
    assert report.passed
    assert report.once_runs == {1: report.once_calls}
    chat = next(one for one in report.classes if one.name == 'chat')
    assert 0 < chat.program.p50 <= chat.program.p99
    assert 0 < chat.first_token.count < chat.calls


@pytest.mark.parametrize(
    ('flaw', 'promise'),
    [
        ('short', Promise.whole_answer),
        ('twice', Promise.at_most_once),
        ('denies', Promise.not_run),
    ],
)
def test_broken_promises_are_found(flaw, promise):
    report = drive(EntryDouble(flaw))
    assert not report.passed
    assert promise in {breach.promise for breach in report.breaches}


def test_held_memory_is_found(monkeypatch):
    monkeypatch.setattr(counts, 'RELEASE_SECONDS', 0.5)
    report = drive(EntryDouble(pins=2))
    found = {breach.promise for breach in report.breaches}
    assert found == {Promise.memory_released}


def test_cut_streams_are_resumed_and_refusals_retried():
    report = drive(EntryDouble('cut', refusals=3))
    assert report.passed


def test_arrivals_depend_on_the_seed_only():
    workload = Workload('test', (CHAT, DESK), 50)
    first = list(draw_arrivals(workload, 1, BOUNDS))
    assert first == list(draw_arrivals(workload, 1, BOUNDS))
    assert first != list(draw_arrivals(workload, 2, BOUNDS))


def test_other_hosts_are_refused(tmp_path, capsys):
    path = tmp_path / 'load.jsonc'
    workload = {'name': 'x', 'classes': [], 'entries': ['http://10.0.0.1:80']}
    path.write_text(json.dumps(workload))
    assert app(['run', str(path)], result_action='return_value') == 2
    assert '10.0.0.1' in capsys.readouterr().err
