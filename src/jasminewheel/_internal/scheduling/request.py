"""Describe a call that waits for a runner."""

from collections.abc import Sequence

from attrs import frozen

from jasminewheel._internal.targets.prefix import PrefixBlock


@frozen
class PlacementRequest:
    """Describe a call; `deadline` is in seconds on the wall clock."""

    program_id: str
    caller: str
    priority: int
    target: str
    blocks: Sequence[PrefixBlock]
    max_tokens: int
    deadline: float
    attained_tokens: int
    repeatable: bool
    request_id: str

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(block.tokens for block in self.blocks)
