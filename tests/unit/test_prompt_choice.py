"""Check where prompts go that some runners have read before.

The load is that of many entries which each see few calls: loads are known
late, and lines of turns come back with a longer prompt.
"""

from collections import Counter
from random import Random
from types import MappingProxyType

import pytest

from jasminewheel._internal.gateway.held_prompts import (
    HELD_SECONDS,
    MAX_PARTS,
    HeldPrompts,
    Prompt,
    PromptPart,
)
from jasminewheel._internal.gateway.load_board import (
    MAX_REPORT_AGE_SECONDS,
    LoadBoard,
    ReportedCalls,
)
from jasminewheel._internal.gateway.prompt_choice import PromptChoice
from jasminewheel._internal.gateway.runners import Runner, RunnerDirectory
from jasminewheel._internal.peer.distance import ZoneDistance
from jasminewheel._internal.targets.load_report import LoadReport

RUNNERS = 12
REGIONS = MappingProxyType({'a': 'near', 'b': 'near', 'c': 'far'})
SHARED = PromptPart('shared', 2560)
NOW = 100.0
LOADS = (8, 9, 10, 11)


def make_choice(seed: int = 1, zones: str = 'ab') -> PromptChoice:
    """Return a choice among runners with no load."""
    directory = RunnerDirectory()
    for number in range(RUNNERS):
        zone = zones[number % len(zones)]
        runner = Runner(f'r{number}', 'model', 'h:1', zone, False, 24)
        directory.put(runner)
    distance = ZoneDistance('a', REGIONS)
    return PromptChoice(directory, distance, Random(seed))


def prompt(line: str, tokens: int = 1000) -> Prompt:
    """Return a prompt of a line, behind the shared part."""
    parts = (SHARED, PromptPart(line, tokens))
    return Prompt('model', parts, SHARED.tokens + tokens, line)


def report(choice: PromptChoice, runner: str, calls: int, at: float) -> None:
    """Record the load that a runner reported."""
    view = choice.directory.views[runner]
    view.load.reported(LoadReport(calls, 0), at)
    choice.record_load('model', calls)


def place(choice: PromptChoice, wanted: Prompt, now: float = NOW) -> str:
    """Choose a runner and send it the prompt."""
    usable = list(choice.directory.usable_runners('model', now))
    view = choice.choose(usable, wanted, now)
    choice.begin_reading(view, wanted, now)
    return view.runner.runner_id


def test_line_stays_where_its_prompt_is():
    """Later turns of a line go where the earlier ones were read."""
    choice = make_choice()
    for number in range(RUNNERS):
        report(choice, f'r{number}', 10, NOW)
    first = place(choice, prompt('line'))
    turns = [place(choice, prompt('line', size)) for size in (1300, 1600)]
    assert turns == [first, first]


def test_only_what_was_sent_of_a_growing_part_is_held():
    """The rest of a line's part has to be read."""
    prompts = HeldPrompts()
    prompts.record('r1', prompt('line', 1000), NOW)
    held = prompts.held_tokens('r1', prompt('line', 1600), NOW)
    assert held == SHARED.tokens + 1000


def test_line_leaves_a_runner_with_too_much_to_read():
    """Reading again elsewhere is chosen once the wait costs more."""
    choice = make_choice()
    first = place(choice, prompt('line'))
    for number in range(RUNNERS):
        report(choice, f'r{number}', 1, NOW)
    report(choice, first, 60, NOW)
    assert place(choice, prompt('line', 1300)) != first


def test_part_of_two_programs_is_held_by_all():
    """What programs share draws no line to one runner."""
    prompts = HeldPrompts()
    prompts.record('r1', prompt('one'), NOW)
    assert prompts.held_tokens('r2', prompt('one'), NOW) == 0
    prompts.record('r1', prompt('two'), NOW)
    assert prompts.held_tokens('r2', prompt('one'), NOW) == SHARED.tokens


def test_parts_are_forgotten():
    """An old part has made room, and only so many are remembered."""
    prompts = HeldPrompts()
    prompts.record('r1', prompt('line'), NOW)
    later = NOW + HELD_SECONDS + 1
    assert prompts.held_tokens('r1', prompt('line'), later) == 0
    for number in range(MAX_PARTS + 10):
        prompts.record('r1', prompt(f'line-{number}'), NOW)
    assert len(prompts.parts) == MAX_PARTS


def test_unknown_load_counts_as_the_mean():
    """A runner without a report is not taken for idle."""
    choice = make_choice()
    for number, calls in enumerate(LOADS):
        report(choice, f'r{number}', calls, NOW)
    times = choice.times.of_target('model')
    unknown = times.load(choice.directory.views['r11'], NOW)
    assert min(LOADS) <= unknown <= max(LOADS)
    report(choice, 'r0', 0, NOW)
    old = times.load(choice.directory.views['r0'], NOW + 5)
    assert old > min(LOADS) / 2


@pytest.mark.parametrize('entries', [10, 73])
def test_entries_with_the_same_news_spread_their_calls(entries):
    """One idle runner is not sent the calls of all entries at once."""
    chosen = Counter()
    for seed in range(entries):
        choice = make_choice(seed)
        for number in range(RUNNERS):
            report(choice, f'r{number}', 10, NOW)
        report(choice, 'r3', 0, NOW)
        chosen[place(choice, prompt(f'line-{seed}'))] += 1
    assert max(chosen.values()) < entries / 2


def test_slow_runner_gets_fewer_prompts():
    """A runner that takes twice as long to read gets less than its share."""
    choice = make_choice()
    slow = choice.directory.views['r0']
    for _ in range(60):
        for number in range(RUNNERS):
            view = choice.directory.views[f'r{number}']
            reading = choice.begin_reading(view, prompt('learn'), NOW)
            seconds = 0.1 if view is slow else 0.05
            reading.finish(NOW + seconds)
    chosen = Counter()
    for number in range(600):
        loaded = number % RUNNERS
        report(choice, f'r{loaded}', 10, NOW)
        view = choice.choose(
            list(choice.directory.views.values()), prompt(f'l{number}'), NOW
        )
        chosen[view.runner.runner_id] += 1
    assert chosen['r0'] < 600 / RUNNERS / 2


def test_far_region_is_used_once_the_near_one_waits_longer():
    """A hop between regions is paid only for a shorter wait."""
    choice = make_choice(zones='abc')
    near = [one for one in range(RUNNERS) if one % 3 < 2]
    for number in range(RUNNERS):
        report(choice, f'r{number}', 2, NOW)
    chosen = {place(choice, prompt(f'l{turn}')) for turn in range(40)}
    assert all(int(one[1:]) in near for one in chosen)
    for number in near:
        report(choice, f'r{number}', 80, NOW)
    chosen = {place(choice, prompt(f'm{turn}')) for turn in range(40)}
    assert any(int(one[1:]) not in near for one in chosen)


def test_runner_that_is_gone_is_not_chosen():
    """A line goes on elsewhere once its runner left."""
    choice = make_choice()
    first = place(choice, prompt('line'))
    choice.directory.discard(first)
    assert place(choice, prompt('line', 1300)) != first


def test_board_keeps_the_newest_report():
    """What is told late replaces nothing newer, and old reports end."""
    board = LoadBoard()
    board.record([ReportedCalls('r1', 5, 10), ReportedCalls('r1', 9, 8)])
    assert list(board.recent(11)) == [ReportedCalls('r1', 5, 10)]
    assert not list(board.recent(11 + MAX_REPORT_AGE_SECONDS))
