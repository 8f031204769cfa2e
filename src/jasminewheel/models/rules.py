"""Define validation rules for fields, in addition to their types."""

import re
from reprlib import repr as short_repr
from typing import Any, Protocol

from attrs import frozen


class Rule(Protocol):
    """Validate a field; given as metadata of its type in `Annotated`."""

    def check(self, field_value: Any) -> None:
        """Raise ValueError that describes the accepted values."""


@frozen
class Between:
    """Accept numbers within both bounds."""

    least: float
    most: float

    def check(self, field_value: Any) -> None:
        """Raise ValueError for a number out of bounds."""
        if not self.least <= field_value <= self.most:
            raise ValueError(
                f'must be from {self.least} to {self.most}, got {field_value}',
            )


@frozen
class Matches:
    """Accept text that matches a pattern in full."""

    pattern: str
    description: str

    def check(self, field_value: Any) -> None:
        """Raise ValueError for other text."""
        if not re.fullmatch(self.pattern, field_value):
            raise ValueError(
                f'must be {self.description}, got {short_repr(field_value)}'
            )


@frozen
class OneOf:
    """Accept one of the listed words."""

    words: tuple[str, ...]

    def check(self, field_value: Any) -> None:
        """Raise ValueError for another word."""
        if field_value not in self.words:
            expected = ', '.join(self.words)
            raise ValueError(
                f'must be one of {expected}, got {short_repr(field_value)}'
            )


@frozen
class AtMost:
    """Accept collections up to a size."""

    count: int

    def check(self, field_value: Any) -> None:
        """Raise ValueError for a larger collection."""
        if len(field_value) > self.count:
            raise ValueError(
                f'must have at most {self.count} items, has {len(field_value)}',
            )
