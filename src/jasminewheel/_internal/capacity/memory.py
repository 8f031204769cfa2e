"""Measure the resident memory of callers and programs in an entry."""

import gc
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from resource import getpagesize
from typing import Any

from jasminewheel._internal.configuration.snapshot import Snapshot, hash_key
from jasminewheel._internal.program.program import Program
from jasminewheel._internal.program.records import Record
from jasminewheel._internal.wire.gen.program.ttypes import (
    CallFinished,
    CallStarted,
    ProgramOpened,
)
from jasminewheel.models.caller import Budget, Caller, KeyHash

MEGABYTE = 1_000_000
CALLER_SIZES = (2000, 4000, 8000, 14_000, 28_000)
PROGRAM_SIZES = (500, 1000, 2000, 4000)
TURN_SIZES = (10, 20, 40, 80)
TURNS = 4
MESSAGE_CHARACTERS = 400

Point = tuple[float, float]


def resident_bytes() -> int:
    """Return this process's resident memory in bytes."""
    pages = Path('/proc/self/statm').read_text(encoding='ascii').split()[1]
    return int(pages) * getpagesize()


def measure_growth(
    sizes: tuple[int, ...],
    make_object: Callable[[int], Any],
) -> list[Point]:
    """Return the resident megabytes added by each number of objects.

    The objects stay alive from one size to the next. Otherwise freed memory
    that the allocator retains would be reused and not count as growth.
    """
    gc.collect()
    before = resident_bytes()
    objects: list[Any] = []
    points = []
    for size in sizes:
        objects.extend(
            make_object(number) for number in range(len(objects), size)
        )
        gc.collect()
        points.append((size, (resident_bytes() - before) / MEGABYTE))
    return points


def make_caller(number: int) -> Caller:
    """Return a caller with one key and two targets."""
    return Caller(
        name=f'organisation-{number}',
        key_hashes=(KeyHash(hash_key(str(number))),),
        budget=Budget(tokens=MEGABYTE),
        targets=('guide-model', 'desk-service'),
    )


def caller_points() -> list[Point]:
    """Return megabytes by number of callers in the current snapshot."""
    points = measure_growth(CALLER_SIZES, make_caller)
    return [
        (size, megabytes + index_megabytes(size)) for size, megabytes in points
    ]


def index_megabytes(size: int) -> float:
    """Return the megabytes that the index by key adds for `size` callers."""
    callers = {str(number): make_caller(number) for number in range(size)}
    gc.collect()
    before = resident_bytes()
    snapshot = Snapshot(1, callers)
    added = resident_bytes() - before
    return added / MEGABYTE if snapshot.callers else 0


def make_program(number: int, turns: int = TURNS) -> Program:
    """Return a program with `turns` turns."""
    program_id = f'program-{number}'
    records: list[Record] = [
        ProgramOpened(
            caller='organisation-1',
            request_id='open',
            digest='digest',
            opened_at=0,
            deadline_at=0,
            parent='',
            labels=b'{}',
        ),
    ]
    for turn in range(turns):
        records.extend(make_turn(f'{number}-{turn}'))
    return Program.replay(program_id, records)


def make_turn(request_id: str) -> tuple[CallStarted, CallFinished]:
    """Return the records of one model call, with unique texts."""
    text = request_id.ljust(MESSAGE_CHARACTERS, 'x')
    content = f'{{"messages": [{{"role": "user", "content": "{text}"}}]}}'
    start = CallStarted(
        request_id=request_id,
        digest=hash_key(request_id),
        target='guide-model',
        operation='',
        content=content.encode(),
        repeatable=True,
        attempt=0,
        runner='guide-model-1',
        generation=0,
        text='',
        started_at=0,
        deadline_at=0,
        reserved_tokens=MESSAGE_CHARACTERS,
    )
    finish = CallFinished(
        request_id=request_id,
        verdict='ran',
        status=HTTPStatus.OK,
        body=b'{}',
        text=f'{text}y',
        prompt_tokens=MESSAGE_CHARACTERS,
        cached_tokens=0,
        completion_tokens=MESSAGE_CHARACTERS,
        generation=0,
        finished_at=0,
    )
    return start, finish


def program_points() -> list[Point]:
    """Return megabytes by number of programs of `TURNS` turns."""
    return measure_growth(PROGRAM_SIZES, make_program)


def turn_points() -> list[Point]:
    """Return megabytes by turns per program, for a thousand programs."""
    gc.collect()
    before = resident_bytes()
    programs: list[Program] = [make_program(one, 0) for one in range(1000)]
    points = []
    first_turn = 0
    for turns in TURN_SIZES:
        for program in programs:
            add_turns(program, first_turn, turns)
        first_turn = turns
        gc.collect()
        points.append((turns, (resident_bytes() - before) / MEGABYTE))
    return points


def add_turns(program: Program, first_turn: int, turns: int) -> None:
    """Add the turns from `first_turn` up to `turns` to a program."""
    for turn in range(first_turn, turns):
        for record in make_turn(f'{program.program_id}-{turn}'):
            program.apply(record)
