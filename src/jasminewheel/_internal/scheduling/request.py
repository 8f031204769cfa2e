"""Describe a call that waits for a runner, and what a target offers."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen


class Block(Protocol):
    """Name one cached unit of a prompt prefix and its size."""

    block: str
    tokens: int


class Runner(Protocol):
    """Name one process of a target and where it stands."""

    name: str
    url: str
    region: str
    zone: str
    max_running: int


class Usage(Protocol):
    """Count the tokens of one finished engine call."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@frozen
class PlacementRequest:
    """Describe a call; `deadline` is in seconds on the wall clock."""

    program_id: str
    caller: str
    priority: int
    target: str
    blocks: Sequence[Block]
    max_tokens: int
    deadline: float
    attained_tokens: int
    repeatable: bool
    request_id: str

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(block.tokens for block in self.blocks)
