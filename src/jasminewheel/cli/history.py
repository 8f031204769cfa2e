"""Parse the arguments of jasminewheel-history."""

import sys
from importlib.metadata import version
from pathlib import Path

from cyclopts import App

from jasminewheel._internal.process import EXIT_USAGE
from jasminewheel.commands.history import read_settings, run_history
from jasminewheel.errors import SettingsError

app = App(
    name='jasminewheel-history',
    help='Store program histories in a data folder and serve them to owners.',
    version=version('jasminewheel'),
)


@app.default
def serve(*, settings: Path) -> int:
    """Serve until SIGTERM.

    Parameters
    ----------
    settings:
        Settings file in JSON with comments.
    """
    try:
        chosen = read_settings(settings)
    except SettingsError as error:
        sys.stderr.write(f'error: {error}\n')
        return EXIT_USAGE
    return run_history(chosen)


def main() -> None:
    """Run the binary."""
    sys.exit(app())
