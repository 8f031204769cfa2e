"""Parse the arguments shared by all stand-ins."""

import sys
from collections.abc import Callable
from importlib.metadata import version
from pathlib import Path
from typing import Annotated, Any

from attrs import frozen
from cyclopts import App, Parameter

from jasminewheel._internal.fakes.app import StandIn
from jasminewheel._internal.process import EXIT_USAGE
from jasminewheel.commands.stand_ins import read_settings, run_stand_in
from jasminewheel.errors import SettingsError


@frozen
class StandInCli:
    """Run one stand-in by the arguments of its command line."""

    name: str
    summary: str
    settings_kind: type[Any]
    stand_in_kind: Callable[[Any], StandIn]

    def main(self) -> None:
        """Run the process and exit with its exit code."""
        app = App(
            name=self.name,
            help=self.summary,
            version=version('jasminewheel'),
        )
        app.default(self.serve)
        sys.exit(app())

    def serve(
        self,
        *,
        settings: Path | None = None,
        host: str | None = None,
        port: int | None = None,
        port_file: Annotated[str | None, Parameter('--port-file')] = None,
    ) -> int:
        """Serve until SIGTERM or SIGINT.

        Parameters
        ----------
        settings:
            Settings file in JSON with comments; other arguments override it.
        host:
            IP address to listen on, 127.0.0.1 by default.
        port:
            Port to listen on; 0 picks a free one.
        port_file:
            File that receives the port once the process serves.
        """
        try:
            chosen = read_settings(
                self.settings_kind,
                settings,
                host=host,
                port=port,
                port_file=port_file,
            )
        except SettingsError as error:
            sys.stderr.write(f'error: {error}\n')
            return EXIT_USAGE
        return run_stand_in(self.name, self.stand_in_kind(chosen), chosen)
