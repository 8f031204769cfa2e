"""Describe the request to place a call on a runner."""

from collections.abc import Sequence

from attrs import field, frozen

from jasminewheel._internal.targets.prefix import PrefixBlock


@frozen
class PlacementRequest:
    """Represent a call to place; `deadline` is Unix time in seconds."""

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
        """Return the number of tokens of the whole prompt."""
        return sum(block.tokens for block in self.blocks)
