"""Parse the arguments of jasminewheelctl."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.metadata import version
from pathlib import Path
from typing import Annotated

from attrs import frozen
from cyclopts import App, CycloptsError, Parameter

from jasminewheel.cli.histories import histories_app
from jasminewheel.cli.local_files import (
    check_config_app,
    check_node_app,
    check_turns_app,
    explain_log_app,
)
from jasminewheel.commands.ctl.client import OperatorClient, read_key
from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.fleet import FleetCommands
from jasminewheel.commands.ctl.resources import ResourceCommands
from jasminewheel.commands.ctl.tables import OutputFormat, Printer

app = App(
    name='jasminewheelctl',
    help='Configure and monitor a jasminewheel fleet.',
    version=version('jasminewheel'),
    help_epilogue=(
        'Exit codes: '
        + ', '.join(f'{code.value} {code.name}' for code in ExitCode)
        + '.'
    ),
)
app.register_install_completion_command()
app.command(histories_app)
app.command(explain_log_app)
app.command(check_config_app)
app.command(check_node_app)
app.command(check_turns_app)

Files = Annotated[
    tuple[Path, ...],
    Parameter(name=('--file', '-f'), negative=(), consume_multiple=True),
]


@Parameter(name='*')
@frozen
class Connection:
    """Define the entry to connect to and the output format.

    Parameters
    ----------
    server:
        URL of an entry.
    key_file:
        File that contains the operator's key.
    output:
        Output format.
    """

    server: Annotated[str, Parameter(env_var='JASMINEWHEELCTL_SERVER')]
    key_file: Annotated[Path, Parameter(env_var='JASMINEWHEELCTL_KEY_FILE')]
    output: OutputFormat = OutputFormat.table

    @contextmanager
    def resources(self) -> Iterator[ResourceCommands]:
        """Connect to the entry and yield the commands on resources."""
        with OperatorClient(self.server, read_key(self.key_file)) as client:
            yield ResourceCommands(client, Printer(self.output))

    @contextmanager
    def fleet(self) -> Iterator[FleetCommands]:
        """Connect to the entry and yield the commands on members."""
        with OperatorClient(self.server, read_key(self.key_file)) as client:
            yield FleetCommands(client, Printer(self.output))


@app.command
def apply(*, file: Files, connection: Connection, dry_run: bool = False) -> int:
    """Apply the resources of files in one atomic change.

    Parameters
    ----------
    file:
        Files in JSON with comments, or folders of such files.
    dry_run:
        Validate the resources without changing the configuration.
    """
    with connection.resources() as commands:
        return commands.apply(file, dry_run=dry_run)


@app.command
def diff(*, file: Files, connection: Connection) -> int:
    """Show the changes that apply would make; exit with 6 if any.

    Parameters
    ----------
    file:
        Files in JSON with comments, or folders of such files.
    """
    with connection.resources() as commands:
        return commands.diff(file)


@app.command
def get(kind: str, name: str, *, connection: Connection) -> int:
    """Show one resource with its status."""
    with connection.resources() as commands:
        return commands.get(kind, name)


@app.command(name='list')
def list_kind(kind: str, *, connection: Connection) -> int:
    """Show all resources of a kind."""
    with connection.resources() as commands:
        return commands.list(kind)


@app.command
def delete(
    kind: str,
    name: str,
    *,
    connection: Connection,
    expected_version: int | None = None,
) -> int:
    """Delete one resource.

    Parameters
    ----------
    expected_version:
        Refuse unless the resource is at this version.
    """
    with connection.resources() as commands:
        return commands.delete(kind, name, expected_version)


@app.command
def watch(
    kind: str = '',
    *,
    connection: Connection,
    after: int | None = None,
    seconds: float = 0,
) -> int:
    """Show changes as they take effect.

    Parameters
    ----------
    kind:
        Kind to watch; all kinds by default.
    after:
        Show changes after this version; by default the one in force.
    seconds:
        Exit after this time; 0 watches until interrupted.
    """
    with connection.resources() as commands:
        return commands.watch(kind, after, seconds)


@app.command
def status(*, connection: Connection, section: str = '') -> int:
    """Show all members and the versions in force on each.

    Parameters
    ----------
    section:
        Show this section of each member's status instead.
    """
    with connection.fleet() as commands:
        return commands.status(section)


@app.command
def drain(member: str, *, connection: Connection) -> int:
    """Start the graceful shutdown of a member."""
    with connection.fleet() as commands:
        return commands.drain(member)


@app.command
def drain_runner(
    target: str,
    runner: str,
    *,
    connection: Connection,
    undo: bool = False,
) -> int:
    """Stop placing new work on a runner.

    Parameters
    ----------
    undo:
        Resume placing work on the runner.
    """
    with connection.resources() as commands:
        return commands.drain_runner(target, runner, undo=undo)


@app.command
def explain(subject: str, *, connection: Connection) -> int:
    """Show the events of all members that concern a subject.

    Parameters
    ----------
    subject:
        Identifier of a request, a program, a member or a target.
    """
    with connection.fleet() as commands:
        return commands.explain(subject)


@app.command
def events(*, connection: Connection) -> int:
    """Show the most recent events of all members."""
    with connection.fleet() as commands:
        return commands.events()


@app.command
def audit(*, connection: Connection) -> int:
    """Show the recorded changes of the configuration and their authors."""
    with connection.fleet() as commands:
        return commands.audit()


def main() -> None:
    """Run the binary."""
    try:
        sys.exit(app(exit_on_error=False))
    except CycloptsError:
        sys.exit(ExitCode.usage)
    except CommandError as error:
        sys.stderr.write(f'error: {error}\n')
        for line in error.fields:
            sys.stderr.write(f'  {line}\n')
        sys.exit(error.exit_code)
