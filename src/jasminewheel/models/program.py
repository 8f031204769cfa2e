"""Define the view of a program that its caller receives."""

from typing import Any

from attrs import frozen


@frozen
class ProgramView:
    """Represent a program's state; times in Unix time."""

    program: str
    parent: str
    opened_at: float
    deadline_at: float
    turns: int
    children: tuple[str, ...]
    ended: str
    labels: dict[str, Any]
