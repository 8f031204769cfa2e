"""Refuse requests that conflict with earlier ones or are too late."""

from jasminewheel.errors import ConflictError, DeadlineError


def check_digest(request_id: str, recorded: str, sent: str) -> None:
    """Raise ConflictError if an identifier is reused with another body."""
    if recorded != sent:
        raise ConflictError(
            f'request {request_id} was sent before with another body',
            remedy='use a new Idempotency-Key for a new request',
        )


def check_deadline(deadline_at: float, now: float) -> None:
    """Raise DeadlineError if the deadline has passed; 0 means none."""
    if deadline_at and now >= deadline_at:
        raise DeadlineError('the deadline passed before the call started')
