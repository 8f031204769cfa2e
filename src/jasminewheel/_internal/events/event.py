"""Log events under numbers that operators can look up."""

import logging
from typing import Any

from attrs import frozen


@frozen
class Event:
    """Represent a kind of log line with its number, level and text."""

    number: int
    level: int
    text: str
    remedy: str = ''
    # A success; its lines are the first to be dropped when there are too many.
    routine: bool = False
    # Changes the state from which the process decides, such as which replicas
    # respond, and so helps to explain the decisions that follow.
    state_change: bool = False

    def log(self, logger: logging.Logger, **fields: Any) -> None:
        """Log this event with its fields through the given logger."""
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
