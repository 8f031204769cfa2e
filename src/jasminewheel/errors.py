"""Define the errors that users may see, each with a remedy."""

from collections.abc import Iterable

from jasminewheel.models.verdict import Verdict


class JasminewheelError(Exception):
    """Represent an error with a message and a remedy for the user."""

    code = 'internal'
    status = 500

    def __init__(self, message: str, *, remedy: str = '') -> None:
        """Store the message and the remedy."""
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        """Return the message followed by the remedy."""
        if not self.remedy:
            return self.message
        return f'{self.message} ({self.remedy})'


class SettingsError(JasminewheelError):
    """Report a settings file that cannot be read or is invalid."""

    code = 'settings-invalid'


class CallError(JasminewheelError):
    """Report a refused or failed call and whether it may have run."""

    code = 'call-failed'
    status = 500

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict = Verdict.not_run,
        remedy: str = '',
        retry_after_seconds: float = 0,
    ) -> None:
        """Store the verdict and the seconds until a retry is useful."""
        super().__init__(message, remedy=remedy)
        self.verdict = verdict
        self.retry_after_seconds = retry_after_seconds


class BadRequestError(CallError):
    """Refuse a call whose content is invalid."""

    code = 'bad-request'
    status = 400


class UnauthorizedError(CallError):
    """Refuse a call without a valid key."""

    code = 'unauthorized'
    status = 401


class ForbiddenError(CallError):
    """Refuse a call to a target that the caller may not use."""

    code = 'forbidden'
    status = 403


class NotFoundError(CallError):
    """Refuse a request for an unknown program, call, target or kind."""

    code = 'not-found'
    status = 404


class ConflictError(CallError):
    """Refuse a call that conflicts with an earlier one."""

    code = 'conflict'
    status = 409


class RequestError(CallError):
    """Refuse bytes that form no valid request, and close the connection."""

    code = 'request-refused'
    status = 400


class TooLargeError(RequestError):
    """Refuse a call whose body is over the limit."""

    code = 'too-large'
    status = 413


class MalformedRequestError(RequestError):
    """Refuse a request that violates the protocol."""

    code = 'malformed-request'


class SlowRequestError(RequestError):
    """Refuse a request that is not received within the time limit."""

    code = 'slow-request'
    status = 408


class HeadersTooLargeError(RequestError):
    """Refuse a request whose header fields are over the limit."""

    code = 'headers-too-large'
    status = 431


class ClientMemoryError(RequestError):
    """Refuse a request as the memory for requests of clients is used up."""

    code = 'client-memory'
    status = 503


class BudgetError(CallError):
    """Refuse a call that the caller's budget cannot cover."""

    code = 'budget-exhausted'
    status = 402


class OverloadedError(CallError):
    """Refuse a call before it runs because queues are full."""

    code = 'overloaded'
    status = 429


class UnavailableError(CallError):
    """Refuse or fail a call because part of the fleet is unavailable."""

    code = 'unavailable'
    status = 503


class TargetFailedError(CallError):
    """Report that the target answered with an error or did not answer."""

    code = 'target-failed'
    status = 502


class DeadlineError(CallError):
    """Report that a call's deadline passed."""

    code = 'deadline-passed'
    status = 504


class StoreError(JasminewheelError):
    """Report that a request to the key-value store failed."""

    code = 'store-failed'
    status = 503
    # Whether the store sent no response at all.
    no_response = False


class StoreConflictError(StoreError):
    """Report that a compare-and-swap found another revision."""

    code = 'store-conflict'


class LeaseEndedError(StoreConflictError):
    """Report that a lease has ended, and its keys were removed."""

    code = 'lease-ended'


class StoreUnavailableError(StoreError):
    """Report a request without a reply; a change may have taken effect."""

    code = 'store-unavailable'

    def __init__(
        self, message: str, *, remedy: str = '', no_response: bool = False
    ) -> None:
        """Record whether the store sent no response, not even a refusal."""
        super().__init__(message, remedy=remedy)
        self.no_response = no_response


class FencedError(JasminewheelError):
    """Report that the slot was taken over under a newer fence."""

    code = 'fenced'


class QuorumError(JasminewheelError):
    """Report that too few replicas answered."""

    code = 'no-quorum'

    def __init__(
        self, message: str, *, remedy: str = '', answered: int = 0
    ) -> None:
        """Store how many replicas answered."""
        super().__init__(message, remedy=remedy)
        self.answered = answered


class PeerError(JasminewheelError):
    """Report that a peer was unreachable or violated the protocol."""

    code = 'peer-failed'
    status = 502

    def __init__(
        self,
        message: str,
        *,
        remedy: str = '',
        sent: bool = True,
    ) -> None:
        """Store whether the request may have reached the peer."""
        super().__init__(message, remedy=remedy)
        self.sent = sent


class DiskReplacedError(JasminewheelError):
    """Report that the addressed disk has been replaced by another."""

    code = 'disk-replaced'
    status = 502


class ConnectionLostError(PeerError):
    """Report that a connection to a server failed during an exchange."""

    code = 'connection-lost'


class RunnerLeftError(ConnectionLostError):
    """Report that a runner was removed before the call was sent to it."""

    code = 'runner-left'


class AnswerTooLongError(ConnectionLostError):
    """Report a server that sends more data than the response may have."""

    code = 'answer-too-long'


class AnswerMemoryError(ConnectionLostError):
    """Report that this process has no memory left for a large answer."""

    code = 'answer-memory'


class DiskFullError(JasminewheelError):
    """Report that a disk accepts no more records; stored records remain."""

    code = 'disk-full'


class DamagedError(JasminewheelError):
    """Report stored bytes that fail their checksum."""

    code = 'damaged'


class HistoryError(JasminewheelError):
    """Report a program log that cannot be replayed."""

    code = 'history-invalid'


class MovedError(CallError):
    """Refer an operation to the entry that now owns the program."""

    code = 'moved'
    status = 503


class InvalidResourceError(JasminewheelError):
    """Report the invalid fields of resources; nothing was changed."""

    code = 'resource-invalid'
    status = 422

    def __init__(self, problems: Iterable[object]) -> None:
        """Store the invalid fields, each shown as `path: problem`."""
        self.problems = tuple(problems)
        super().__init__(
            '; '.join(str(problem) for problem in self.problems),
            remedy='correct the fields named and apply again',
        )


class ConfigurationError(JasminewheelError):
    """Report a configuration that is malformed or incomplete."""

    code = 'configuration-broken'


class StaleVersionError(JasminewheelError):
    """Refuse a change to a resource that is at another version."""

    code = 'stale-version'
    status = 409


class MissingResourceError(JasminewheelError):
    """Report a resource or member that does not exist."""

    code = 'resource-missing'
    status = 404


class UnsettledCommitError(JasminewheelError):
    """Report a commit whose reply was lost and whose outcome is unknown."""

    code = 'commit-unsettled'
    status = 504


class ExpiredVersionError(JasminewheelError):
    """Refuse a watch from a version whose changes are no longer buffered."""

    code = 'version-expired'
    status = 410
