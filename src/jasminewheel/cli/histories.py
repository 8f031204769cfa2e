"""Parse the arguments of jasminewheelctl audit-histories."""

import sys
from pathlib import Path

from cyclopts import App

from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.histories import audit_folders, report_lines
from jasminewheel.commands.ctl.tables import OutputFormat, Printer
from jasminewheel.errors import JasminewheelError

histories_app = App(name='audit-histories')


@histories_app.default
def audit_histories(*folders: Path) -> int:
    """Audit the records of all histories of a fleet; all must be stopped.

    Parameters
    ----------
    folders:
        Data folder of each history process.
    """
    try:
        report = audit_folders(folders)
    except JasminewheelError as error:
        sys.stderr.write(f'error: {error}\n')
        return ExitCode.failed
    Printer(OutputFormat.table).lines(None, report_lines(report))
    return ExitCode.failed if report.problems else ExitCode.done
