"""Report why a command failed."""

from typing import Any

from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.errors import JasminewheelError


class CommandError(JasminewheelError):
    """Carry the exit code and the wrong fields, if any."""

    code = 'command-failed'

    def __init__(
        self,
        message: str,
        exit_code: ExitCode,
        *,
        remedy: str = '',
        problem: dict[str, Any] | None = None,
    ) -> None:
        """Keep the exit code and the problem document."""
        super().__init__(message, remedy=remedy)
        self.exit_code = exit_code
        self.problem = problem or {}

    @property
    def fields(self) -> list[str]:
        """Return the wrong fields as lines."""
        return [
            f'{one["path"]}: {one["problem"]}'
            for one in self.problem.get('fields', ())
        ]
