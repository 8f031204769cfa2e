"""Describe a call that waits for a runner."""

from collections.abc import Sequence

from attrs import field, frozen

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

    prompt_tokens: int = field(init=False)

    @prompt_tokens.default
    def sum_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(block.tokens for block in self.blocks)
