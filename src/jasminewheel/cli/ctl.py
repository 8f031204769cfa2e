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
    help='Write desired state and watch a jasminewheel fleet.',
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
app.command(check_node_app)
app.command(check_turns_app)

Files = Annotated[
    tuple[Path, ...],
    Parameter(name=('--file', '-f'), negative=(), consume_multiple=True),
]


@Parameter(name='*')
@frozen
class Connection:
    """Say which entry to ask, and how to print.

    Parameters
    ----------
    server:
        URL of an entry.
    key_file:
        File that holds the operator's key.
    output:
        Format of what is printed.
    """

    server: Annotated[str, Parameter(env_var='JASMINEWHEELCTL_SERVER')]
    key_file: Annotated[Path, Parameter(env_var='JASMINEWHEELCTL_KEY_FILE')]
    output: OutputFormat = OutputFormat.table

    @contextmanager
    def resources(self) -> Iterator[ResourceCommands]:
        """Give the commands that concern resources."""
        with OperatorClient(self.server, read_key(self.key_file)) as client:
            yield ResourceCommands(client, Printer(self.output))

    @contextmanager
    def fleet(self) -> Iterator[FleetCommands]:
        """Give the commands that concern members and events."""
        with OperatorClient(self.server, read_key(self.key_file)) as client:
            yield FleetCommands(client, Printer(self.output))


@app.command
def apply(*, file: Files, connection: Connection, dry_run: bool = False) -> int:
    """Apply the resources of files, all or none.

    Parameters
    ----------
    file:
        Files in JSON with comments, or folders of such files.
    dry_run:
        Check only; change nothing.
    """
    with connection.resources() as commands:
        return commands.apply(file, dry_run=dry_run)


@app.command
def diff(*, file: Files, connection: Connection) -> int:
    """Show what apply would change; exit with 6 if it would.

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
    """Show the resources of a kind."""
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
    """Show changes as they come in force.

    Parameters
    ----------
    kind:
        Kind to watch; all without it.
    after:
        Version to watch from; the one in force without it.
    seconds:
        End after this time; 0 watches until interrupted.
    """
    with connection.resources() as commands:
        return commands.watch(kind, after, seconds)


@app.command
def status(*, connection: Connection, section: str = '') -> int:
    """Show all members with the versions in force on each.

    Parameters
    ----------
    section:
        Show this part of each member's status instead.
    """
    with connection.fleet() as commands:
        return commands.status(section)


@app.command
def drain(member: str, *, connection: Connection) -> int:
    """Begin the graceful stop of a member."""
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
    """Keep new work from a runner.

    Parameters
    ----------
    undo:
        Give the runner work again.
    """
    with connection.resources() as commands:
        return commands.drain_runner(target, runner, undo=undo)


@app.command
def explain(subject: str, *, connection: Connection) -> int:
    """Show what all members did about a request, and why.

    Parameters
    ----------
    subject:
        Identifier of a request, a program, a member or a target.
    """
    with connection.fleet() as commands:
        return commands.explain(subject)


@app.command
def events(*, connection: Connection) -> int:
    """Show the last events of all members."""
    with connection.fleet() as commands:
        return commands.events()


@app.command
def audit(*, connection: Connection) -> int:
    """Show who changed the configuration."""
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
