"""Describe a call of a program and what became of it."""

from enum import Enum
from http import HTTPStatus

from attrs import frozen

from jasminewheel.models.verdict import Verdict


class CallPhase(Enum):
    """Say how far a call has come."""

    unknown = 'unknown'
    queued = 'queued'
    running = 'running'
    finished = 'finished'


@frozen
class CallRequest:
    """Hold a validated call as its caller sent it; times in seconds."""

    request_id: str
    digest: str
    target: str
    operation: str = ''
    content: bytes = b'{}'
    repeatable: bool | None = None
    deadline_at: float = 0


@frozen
class CallOutcome:
    """Hold the recorded answer of a call, or its problem document."""

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
        """Tell whether the body is an answer and no problem document."""
        return self.status < HTTPStatus.BAD_REQUEST


@frozen
class CallStatus:
    """Say what became of a request."""

    request_id: str
    phase: CallPhase
    verdict: Verdict


@frozen
class Message:
    """Hold one message of a model's input."""

    role: str
    content: str
