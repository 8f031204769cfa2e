"""Define the error of a failed command."""

from typing import Any

from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.errors import JasminewheelError


class CommandError(JasminewheelError):
    """Report a failed command, with its exit code and invalid fields."""

    code = 'command-failed'

    def __init__(
        self,
        message: str,
        exit_code: ExitCode,
        *,
        remedy: str = '',
        problem: dict[str, Any] | None = None,
    ) -> None:
        """Create the error; problem is the problem document of a response."""
        super().__init__(message, remedy=remedy)
        self.exit_code = exit_code
        self.problem = problem or {}

    @property
    def fields(self) -> list[str]:
        """Return one line per invalid field."""
        return [
            f'{one["path"]}: {one["problem"]}'
            for one in self.problem.get('fields', ())
        ]
