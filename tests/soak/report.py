"""Report the result of a seed."""

import subprocess
import sys
from pathlib import Path

from attrs import frozen

from tests.soak.ledger import Violation
from tests.soak.watch import Watch
from tests.soak.world import World

EXPLAIN_CODE = 'from jasminewheel.cli.ctl import main; main()'
EXPLAIN_SECONDS = 60
MAX_LOG_LINES = 60


@frozen
class Report:
    """Represent the result of one seed."""

    seed: int
    violations: list[str]
    text: str

    @property
    def passed(self) -> bool:
        """Return whether all guarantees held."""
        return not self.violations


def build_report(world: World, watch: Watch) -> Report:
    """Build the report; violations come with faults and log lines."""
    found = world.ledger.violations
    violations = [one.to_text() for one in found]
    parts = [*violations, format_counts(world, watch)]
    if found:
        parts.extend(
            (world.faults.to_text(), *explain_violation(found, world.folder))
        )
    return Report(world.seed, violations, '\n'.join(parts))


def format_counts(world: World, watch: Watch) -> str:
    """Return the counts of faults and answers, and the peaks."""
    outcomes = world.ledger.outcomes
    answers = [
        ' '.join(map(str, (*kind, outcomes[kind])))
        for kind in sorted(outcomes, key=str)
    ]
    stall = round(watch.longest_stall, 2)
    return '; '.join(
        (
            f'{len(world.faults.intervals)} faults',
            ', '.join(answers),
            f'most memory {watch.peak_mib} MiB',
            f'most descriptors {watch.peak_descriptors}',
            f'longest stall of the soak {stall} s',
        )
    )


def last_lines(violation: Violation, folder: Path) -> list[str]:
    """Return the last log lines of the processes that a violation names."""
    lines: list[str] = []
    names = violation.detail.replace(':', ' ').split()
    for log in sorted(folder.glob('*.log')):
        if log.stem in names:
            lines.extend(log.read_text(encoding='utf-8').splitlines())
    return lines[-MAX_LOG_LINES:]


def explain_violation(violations: list[Violation], folder: Path) -> list[str]:
    """Return the log lines of the first request with a violation."""
    found = [one.call_id for one in violations if one.call_id]
    if not found:
        return last_lines(violations[0], folder)
    logs = map(str, sorted(folder.glob('*.log')))
    command = (
        sys.executable,
        '-c',
        EXPLAIN_CODE,
        'explain-log',
        found[0],
        *logs,
    )
    result = subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=EXPLAIN_SECONDS,
        check=False,
    )
    lines = f'{result.stdout}{result.stderr}'.splitlines()
    return lines[-MAX_LOG_LINES:]
