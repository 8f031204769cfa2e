"""Log numbered events, so that an operator can look each one up."""

import logging
from typing import Any

from attrs import frozen


@frozen
class Event:
    """Describe one kind of log line by its number, level and text."""

    number: int
    level: int
    text: str
    remedy: str = ''
    # A plain success, which is left out first where there are many lines.
    routine: bool = False
    # Changes what the process believes, and so explains what follows.
    state_change: bool = False

    def log(self, logger: logging.Logger, **fields: Any) -> None:
        """Log this event with its fields through the module's logger."""
        if not logger.isEnabledFor(self.level):
            return
        details = ' '.join(f'{name}={fields[name]}' for name in fields)
        logger.log(
            self.level,
            'JW%04d %s %s',
            self.number,
            self.text,
            details,
            extra={
                'event': self.number,
                'fields': fields,
                'routine': self.routine,
            },
        )
