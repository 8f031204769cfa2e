"""Remember which parts of prompts a runner was sent."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from jasminewheel._internal.gateway.call import PromptPart

# Parts remembered for each runner; older ones have likely been evicted.
MOST_PARTS = 512


@define(eq=False)
class HeldParts:
    """Hold the parts sent to one runner, the newest last."""

    parts: OrderedDict[str, None] = field(factory=OrderedDict)

    def note(self, parts: Iterable[PromptPart]) -> None:
        """Remember the parts of a prompt that was read."""
        for part in parts:
            self.parts[part.part_id] = None
            self.parts.move_to_end(part.part_id)
        while len(self.parts) > MOST_PARTS:
            self.parts.popitem(last=False)

    def held_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that are held."""
        held = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            held += part.tokens
        return held
