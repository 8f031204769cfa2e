"""Run seeds: python -m tests.soak --seed N --minutes M --processes P."""

import sys
import tempfile
import time
from argparse import ArgumentParser, Namespace
from functools import partial
from pathlib import Path

import trio

from tests.soak.soak import Report, soak_seed

SECONDS_PER_MINUTE = 60


def parse_arguments() -> Namespace:
    """Parse the command line."""
    parser = ArgumentParser(prog='scripts/soak', description=__doc__)
    parser.add_argument(
        '--seed', type=int, help='seed to run; a new one if omitted'
    )
    parser.add_argument('--seeds', help='seeds A-B, run one after the other')
    parser.add_argument('--minutes', type=float, default=1 / 3)
    parser.add_argument('--processes', type=int, default=6)
    parser.add_argument('--folder', type=Path, help='folder of the logs')
    return parser.parse_args()


def selected_seeds(options: Namespace) -> list[int]:
    """Return the seeds to run."""
    if options.seeds:
        first, _, last = options.seeds.partition('-')
        return list(range(int(first), int(last) + 1))
    if options.seed is None:
        return [time.time_ns() % 1000000]
    return [options.seed]


def run_seed(seed: int, options: Namespace, folder: Path) -> Report:
    """Run one seed and print its report."""
    seed_folder = folder / f'seed-{seed}'
    seed_folder.mkdir(parents=True)
    sys.stdout.write(f'seed {seed}, logs in {seed_folder}\n')
    seconds = options.minutes * SECONDS_PER_MINUTE
    report = trio.run(
        partial(soak_seed, seed, seconds, options.processes, seed_folder)
    )
    verdict = 'passed' if report.passed else 'FAILED'
    sys.stdout.write(f'{report.text}\nseed {seed} {verdict}\n')
    sys.stdout.flush()
    return report


def main() -> int:
    """Run all seeds; return 1 if one failed."""
    options = parse_arguments()
    folder = options.folder or Path(tempfile.mkdtemp(prefix='soak-'))
    reports = [
        run_seed(seed, options, folder) for seed in selected_seeds(options)
    ]
    failed = [report.seed for report in reports if not report.passed]
    sys.stdout.write(
        f'{len(reports)} seeds ran, {len(failed)} failed: {failed}\n'
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
