"""Describe a program as its caller sees it."""

from typing import Any

from attrs import frozen


@frozen
class ProgramView:
    """Show a program's state; times in seconds since the epoch."""

    program: str
    parent: str
    opened_at: float
    deadline_at: float
    turns: int
    children: tuple[str, ...]
    ended: str
    labels: dict[str, Any]
