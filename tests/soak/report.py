"""Say what a seed showed."""

import subprocess
import sys
from pathlib import Path

from attrs import frozen

from tests.soak.ledger import Violation
from tests.soak.watch import Watch
from tests.soak.world import World

EXPLAIN = 'from jasminewheel.cli.ctl import main; main()'
EXPLAIN_SECONDS = 60
SHOWN_LINES = 60


@frozen
class Report:
    """Hold what one seed showed."""

    seed: int
    violations: list[str]
    text: str

    @property
    def passed(self) -> bool:
        """Tell whether all promises held."""
        return not self.violations


def report(world: World, watch: Watch) -> Report:
    """Return what was seen; a violation comes with faults and log lines."""
    found = world.ledger.violations
    violations = [one.to_text() for one in found]
    parts = [*violations, counts(world, watch)]
    if found:
        parts.extend((world.faults.to_text(), *explained(found, world.folder)))
    return Report(world.seed, violations, '\n'.join(parts))


def counts(world: World, watch: Watch) -> str:
    """Return what was counted."""
    outcomes = world.ledger.outcomes
    answers = [
        ' '.join(map(str, (*kind, outcomes[kind])))
        for kind in sorted(outcomes, key=str)
    ]
    stall = round(watch.longest_stall, 2)
    return '; '.join(
        (
            f'{len(world.faults.rows)} faults',
            ', '.join(answers),
            f'most memory {watch.most_mib} MiB',
            f'most descriptors {watch.most_descriptors}',
            f'longest stall of the soak {stall} s',
        )
    )


def last_lines(violation: Violation, folder: Path) -> list[str]:
    """Return the newest lines of the processes that a violation names."""
    lines: list[str] = []
    named = violation.seen.replace(':', ' ').split()
    for log in sorted(folder.glob('*.log')):
        if log.stem in named:
            lines.extend(log.read_text(encoding='utf-8').splitlines())
    return lines[-SHOWN_LINES:]


def explained(violations: list[Violation], folder: Path) -> list[str]:
    """Return the log lines of the first request that shows a fault."""
    found = [one.call_id for one in violations if one.call_id]
    if not found:
        return last_lines(violations[0], folder)
    logs = map(str, sorted(folder.glob('*.log')))
    command = (sys.executable, '-c', EXPLAIN, 'explain-log', found[0], *logs)
    ended = subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=EXPLAIN_SECONDS,
        check=False,
    )
    lines = f'{ended.stdout}{ended.stderr}'.splitlines()
    return lines[-SHOWN_LINES:]
