"""Define the exit codes of jasminewheelctl."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Enumerate the outcomes of a command."""

    done = 0
    failed = 1
    usage = 2
    refused = 3
    stale = 4
    missing = 5
    differs = 6
    unsettled = 7
    unauthorized = 8
    unreachable = 9


CODES_BY_STATUS = (
    (401, ExitCode.unauthorized),
    (404, ExitCode.missing),
    (409, ExitCode.stale),
    (410, ExitCode.stale),
    (422, ExitCode.refused),
    (400, ExitCode.refused),
    (413, ExitCode.refused),
    (504, ExitCode.unsettled),
)


def exit_code_for(status: int) -> ExitCode:
    """Return the exit code for the HTTP status of an error response."""
    for refused, code in CODES_BY_STATUS:
        if refused == status:
            return code
    return ExitCode.failed
