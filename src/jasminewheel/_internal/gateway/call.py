"""Hold one request of a caller with what it says of its program."""

from attrs import field, frozen

from jasminewheel._internal.web.headers import Headers


@frozen
class TurnRequest:
    """Hold what a turn of a program says of itself."""

    previous_id: str = ''
    program_id: str = ''
    # None: the caller sets no budget.
    budget_tokens: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0


@frozen
class Call:
    """Hold one attempt of a caller; each has an identifier of its own."""

    call_id: str
    host: str
    path: str
    method: bytes
    target: bytes
    # Those that are passed on to a runner.
    headers: Headers
    body: bytes
    arrived_at: float
    deadline_at: float
    turn: TurnRequest = field(factory=TurnRequest)
