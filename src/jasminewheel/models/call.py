"""Define a program's calls and their outcomes."""

from enum import Enum
from http import HTTPStatus

from attrs import frozen

from jasminewheel.models.verdict import Verdict


class CallPhase(Enum):
    """Represent the phase of a call."""

    unknown = 'unknown'
    queued = 'queued'
    running = 'running'
    finished = 'finished'


@frozen
class CallRequest:
    """Represent a validated call as sent; `deadline_at` is Unix time."""

    request_id: str
    digest: str
    target: str
    operation: str = ''
    content: bytes = b'{}'
    repeatable: bool | None = None
    deadline_at: float = 0


@frozen
class CallOutcome:
    """Represent the recorded answer of a call, or its problem document."""

    verdict: Verdict
    status: int
    body: bytes
    text: str = ''
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    generation: int = 0

    @property
    def succeeded(self) -> bool:
        """Return whether the body is an answer, not a problem document."""
        return self.status < HTTPStatus.BAD_REQUEST


@frozen
class CallStatus:
    """Represent the phase and verdict of a request."""

    request_id: str
    phase: CallPhase
    verdict: Verdict


@frozen
class Message:
    """Represent one message of a model's input."""

    role: str
    content: str
