"""Estimate which runners hold the prompt of a line of turns.

This answers load in which callers send the whole prompt with each turn: a
runner that served the line before reads only what is new, any other one reads
the prompt again, and delays all its streams by that.
"""

from collections import OrderedDict

from attrs import define, field, frozen

# Parts of prompts that are remembered; the least recently used one goes first.
MAX_PARTS = 16384
# Runners remembered for a part, the latest ones.
MAX_HOLDERS = 4
# A part that was not used for longer has probably made room for others.
HELD_SECONDS = 15.0
# A part of so many programs is held by nearly all runners.
SHARED_BY_PROGRAMS = 2


@frozen
class PromptPart:
    """Identify a part of a prompt, which is held if all before it are."""

    part_id: str
    tokens: int


@frozen
class Prompt:
    """Represent the prompt of a turn, which is sent whole."""

    target: str
    # In order; the last one is that of the line of turns.
    parts: tuple[PromptPart, ...]
    tokens: int
    program: str = ''
    # The runner of the turn before, if its record names it.
    previous_runner: str = ''


@frozen
class _Sent:
    at: float
    # The last part of a line grows with its turns.
    tokens: int


@define(eq=False)
class _KnownPart:
    # What each of the latest runners was sent of the part, the newest last.
    sent: dict[str, _Sent] = field(factory=dict)
    programs: set[str] = field(factory=set)

    def record(
        self, runner: str, tokens: int, program: str, now: float
    ) -> None:
        """Record that a runner was sent the part for a program."""
        self.sent.pop(runner, None)
        self.sent[runner] = _Sent(now, tokens)
        if len(self.sent) > MAX_HOLDERS:
            self.sent.pop(next(iter(self.sent)))
        if len(self.programs) < SHARED_BY_PROGRAMS:
            self.programs.add(program)

    def held_tokens(self, runner: str, tokens: int, now: float) -> int:
        """Return how many tokens of the part a runner probably holds."""
        if len(self.programs) >= SHARED_BY_PROGRAMS:
            return tokens
        sent = self.sent.get(runner)
        if sent is None or now - sent.at > HELD_SECONDS:
            return 0
        return min(tokens, sent.tokens)


@define(eq=False)
class HeldPrompts:
    """Remember which runner was sent which parts by this entry."""

    parts: OrderedDict[str, _KnownPart] = field(factory=OrderedDict)

    def record(self, runner: str, prompt: Prompt, now: float) -> None:
        """Record that a runner is sent a prompt."""
        for part in prompt.parts:
            known = self.parts.get(part.part_id)
            if known is None:
                known = _KnownPart()
                self.parts[part.part_id] = known
            known.record(runner, part.tokens, prompt.program, now)
            self.parts.move_to_end(part.part_id)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

    def held_tokens(self, runner: str, prompt: Prompt, now: float) -> int:
        """Return how many tokens of a prompt a runner probably holds."""
        if runner == prompt.previous_runner:
            return prompt.tokens
        total = 0
        for part in prompt.parts:
            known = self.parts.get(part.part_id)
            held = known.held_tokens(runner, part.tokens, now) if known else 0
            total += held
            if held < part.tokens:
                break
        return total

    def was_sent(self, runner: str, prompt: Prompt) -> bool:
        """Return whether a runner was sent the last known part of a prompt."""
        if runner == prompt.previous_runner:
            return True
        for part in reversed(prompt.parts):
            known = self.parts.get(part.part_id)
            if known is not None:
                return runner in known.sent
        return False
