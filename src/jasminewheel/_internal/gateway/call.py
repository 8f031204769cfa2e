"""Represent requests of callers."""

from attrs import field, frozen

from jasminewheel._internal.gateway.held_prompts import PromptPart
from jasminewheel._internal.web.headers import Headers


@frozen
class TurnRequest:
    """Represent the header fields that describe a turn of a program."""

    previous_id: str = ''
    program_id: str = ''
    # None if the caller sets no budget.
    budget_tokens: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    # The parts of the whole prompt in order; empty if the caller names none.
    prompt_parts: tuple[PromptPart, ...] = ()
    # Until the program should have ended; None if the caller does not say.
    program_seconds_left: float | None = None


@frozen
class Call:
    """Represent one request of a caller; a caller's retry has a new call_id."""

    call_id: str
    host: str
    path: str
    method: bytes
    target: bytes
    # The header fields that are forwarded to a runner.
    headers: Headers
    body: bytes
    arrived_at: float
    deadline_at: float
    turn: TurnRequest = field(factory=TurnRequest)
    # Names the organisation; goes no further than this entry.
    key: str = field(default='', repr=False)
