"""Parse the arguments of the commands that work on local files only."""

import sys
from collections.abc import Iterable
from pathlib import Path

from cyclopts import App

from jasminewheel._internal.gateway.routes import RoutingTable
from jasminewheel.commands.ctl.configuration_check import check_configuration
from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.log_explanation import explain
from jasminewheel.commands.ctl.tables import OutputFormat, Printer
from jasminewheel.commands.ctl.turn_folders import check_folder
from jasminewheel.errors import ConfigurationError, JasminewheelError
from jasminewheel.platform.configuration import decode_configuration
from jasminewheel.platform.settings import read_node_settings

explain_log_app = App(name='explain-log')
check_node_app = App(name='check-node')
check_turns_app = App(name='check-turns')
check_config_app = App(name='check-config')


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


@check_config_app.default
def check_config(
    configuration: Path, *, in_force: Path | None = None, json: bool = False
) -> int:
    """Check a configuration before it is sent.

    Parameters
    ----------
    configuration:
        File with the configuration, as it is to be stored.
    in_force:
        File with the configuration that it is to replace.
    json:
        Print the findings as JSON.
    """
    try:
        table = _read_configuration(configuration)
        before = _read_configuration(in_force) if in_force else None
    except JasminewheelError as error:
        return _failed(error, ExitCode.usage)
    report = check_configuration(table, before)
    output = OutputFormat.json if json else OutputFormat.table
    Printer(output).lines(report.as_fields(), report.lines())
    if report.errors:
        return ExitCode.refused
    return ExitCode.done


def _read_configuration(path: Path) -> RoutingTable:
    try:
        stored = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(f'{path}: {error.strerror}') from error
    try:
        return decode_configuration(stored)
    except ConfigurationError as error:
        raise ConfigurationError(f'{path}: {error.message}') from error


def _print(lines: Iterable[str]) -> ExitCode:
    Printer(OutputFormat.table).lines(None, lines)
    return ExitCode.done


def _failed(error: JasminewheelError, exit_code: ExitCode) -> ExitCode:
    sys.stderr.write(f'error: {error}\n')
    return exit_code
