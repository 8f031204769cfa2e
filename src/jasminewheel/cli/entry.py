"""Parse the arguments of jasminewheel-entry."""

import sys
from importlib.metadata import version
from pathlib import Path

from cyclopts import App

from jasminewheel._internal.process import EXIT_USAGE
from jasminewheel.commands.entry import read_settings, serve_entry
from jasminewheel.errors import SettingsError

app = App(
    name='jasminewheel-entry',
    help='Run an entry, which serves callers and operators.',
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
    return serve_entry(chosen)


def main() -> None:
    """Run the binary."""
    sys.exit(app())
