"""Parse the arguments of the commands that work on local files only."""

import sys
from collections.abc import Iterable
from pathlib import Path

from cyclopts import App

from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.log_explanation import explain
from jasminewheel.commands.ctl.tables import OutputFormat, Printer
from jasminewheel.commands.ctl.turn_folders import check_folder
from jasminewheel.errors import JasminewheelError
from jasminewheel.platform.settings import read_node_settings

explain_log_app = App(name='explain-log')
check_node_app = App(name='check-node')
check_turns_app = App(name='check-turns')


@explain_log_app.default
def explain_log(subject: str, *logs: Path) -> int:
    """Show log lines about a subject and the state changes before them.

    Parameters
    ----------
    subject:
        Identifier of a request, a program or a runner.
    logs:
        Log files, or folders of them, of one or more processes.
    """
    try:
        lines = explain(subject, logs)
    except CommandError as error:
        return _failed(error, error.exit_code)
    return _print(line.to_text() for line in lines)


@check_node_app.default
def check_node(settings: Path) -> int:
    """Check the settings file that the platform writes for a process.

    Parameters
    ----------
    settings:
        Path of the settings file.
    """
    try:
        node = read_node_settings(settings)
    except JasminewheelError as error:
        return _failed(error, ExitCode.usage)
    return _print([f'{settings}: settings of {node.vm} in {node.zone}'])


@check_turns_app.default
def check_turns(folder: Path) -> int:
    """Check the data folder of a stopped history.

    Parameters
    ----------
    folder:
        Path of the data folder.
    """
    try:
        report = check_folder(folder)
    except CommandError as error:
        return _failed(error, error.exit_code)
    return _print(report.lines())


def _print(lines: Iterable[str]) -> ExitCode:
    Printer(OutputFormat.table).lines(None, lines)
    return ExitCode.done


def _failed(error: JasminewheelError, exit_code: ExitCode) -> ExitCode:
    sys.stderr.write(f'error: {error}\n')
    return exit_code
