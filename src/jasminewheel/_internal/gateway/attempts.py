"""Send a call to runners until one takes it, within what is allowed."""

import logging
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import CallRequirements, RunnerChoice
from jasminewheel._internal.gateway.ports import (
    Attempt,
    RunnerAnswer,
    RunnerPort,
)
from jasminewheel._internal.gateway.routes import CallKind, Route
from jasminewheel._internal.gateway.runners import RunnerView
from jasminewheel._internal.scheduling.breaker import (
    DEFAULT_LIMITS,
    BreakerLimits,
)
from jasminewheel.errors import (
    AnswerTooLongError,
    ConnectionLostError,
    DeadlineError,
    RunnerLeftError,
    TargetFailedError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

RETRY_AFTER_SECONDS = 0.15
# Refusals and failed connections allowed beside the attempts that may run.
MAX_REFUSALS = 3
# A server that sends without end does so to each call that it gets.
_OPEN_AT_FIRST_FAILURE = BreakerLimits(failures=1)
_FIRST_SERVER_ERROR = 500
_ANSWERED = 'answered'
_LOGGER = logging.getLogger(__name__)

AnswerReader = Callable[[RunnerAnswer], Awaitable[None]]


@define(eq=False)
class CallRecord:
    """Hold what happened to one call so far, for decisions and logs."""

    call: Call
    route: Route
    target: str
    deadline_at: float
    runner: str = ''
    status: int = 0
    # Sendings after which the call may have run.
    attempts: int = 0
    refusals: int = 0
    excluded_runners: set[str] = field(factory=set)
    log_fields: dict[str, object] = field(factory=dict)

    @property
    def verdict(self) -> Verdict:
        """Return what is known while no answer came."""
        return Verdict.may_have_run if self.attempts else Verdict.not_run

    @property
    def repeatable(self) -> bool:
        """Tell whether the call may run more than once."""
        return self.route.kind is CallKind.safe

    def can_attempt(self) -> bool:
        """Tell whether another runner may be sent the call."""
        if self.refusals > MAX_REFUSALS:
            return False
        if self.repeatable:
            return self.attempts < self.route.max_attempts
        return not self.attempts


@frozen
class RetryingSender:
    """Choose runners, send, and learn from what comes back."""

    choice: RunnerChoice
    port: RunnerPort

    async def run(
        self,
        record: CallRecord,
        body: bytes,
        requirements: CallRequirements,
        read: AnswerReader,
    ) -> None:
        """Read the answer of the runner that takes the call.

        Raise UnavailableError if none ran it, TargetFailedError if one may
        have, and DeadlineError when the time is up.
        """
        done = False
        while not done:
            view = self.next_runner(record, requirements)
            done = await self.try_once(record, view, body, read)

    async def try_once(
        self,
        record: CallRecord,
        view: RunnerView,
        body: bytes,
        read: AnswerReader,
    ) -> bool:
        """Send to one runner; tell whether its answer was read."""
        tracked = _TrackedAttempt(
            view, record, self.choice, trio.current_time()
        )
        attempt = self.build_attempt(record, tracked, body)
        try:
            async with tracked, self.port.attempt(attempt) as answer:
                if tracked.process_head(answer):
                    await read(answer)
                    return True
                await answer.drop_rest()
        except RunnerLeftError as error:
            tracked.handle_runner_left(error)
        except ConnectionLostError as error:
            tracked.handle_connection_lost(error)
            if not record.can_attempt():
                raise unanswered_error(record, error.message) from error
        return False

    def next_runner(
        self, record: CallRecord, requirements: CallRequirements
    ) -> RunnerView:
        """Return the next runner; raise if there is none or no time."""
        now = trio.current_time()
        if now >= record.deadline_at:
            raise DeadlineError('the time is up', verdict=record.verdict)
        view = None
        if record.can_attempt():
            view = self.choice.choose(requirements, now)
        if view is None:
            raise unanswered_error(
                record, f'no runner of {record.target} takes it'
            )
        return view

    def build_attempt(
        self, record: CallRecord, tracked: '_TrackedAttempt', body: bytes
    ) -> Attempt:
        """Return what is sent to the runner."""
        return Attempt(
            call=record.call,
            runner=tracked.view.runner,
            body=body,
            seconds_left=record.deadline_at - trio.current_time(),
            repeatable=record.repeatable,
            observer=tracked,
            priority=record.route.priority,
        )


def unanswered_error(record: CallRecord, problem: str) -> Exception:
    """Return the error of a call that no runner answered."""
    if record.verdict is Verdict.not_run:
        return UnavailableError(
            problem, retry_after_seconds=RETRY_AFTER_SECONDS
        )
    return TargetFailedError(problem, verdict=Verdict.may_have_run)


@define(eq=False)
class _TrackedAttempt:
    view: RunnerView
    record: CallRecord
    choice: RunnerChoice
    started_at: float
    outcome: str = ''

    async def __aenter__(self) -> None:
        """Count the call at its runner; note what was believed of it."""
        self.record.log_fields.update(self.selection_fields())
        self.record.runner = self.view.runner.runner_id
        self.record.attempts += 1
        self.view.load.started(self.started_at)
        self.view.breaker.sent(self.started_at)

    def selection_fields(self) -> dict[str, object]:
        """Return what decided on the runner, and how old that is."""
        load = self.view.load
        contact = self.choice.directory.contact
        return {
            'believed_load': load.estimate(self.started_at),
            'own_load': load.own_running,
            'report_age': round(self.started_at - load.reported_at, 2),
            'list_revision': contact.revision,
            'list_age': round(contact.age(self.started_at), 2),
            'unlisted': self.view.unlisted,
        }

    def on_connected(self) -> None:
        """Note how long the connection took; check the runner again."""
        now = trio.current_time()
        waited = round(now - self.started_at, 4)
        self.record.log_fields['connected_in'] = waited
        if not self.choice.directory.is_still_usable(self.view, now):
            raise RunnerLeftError(f'it left within {waited} s', sent=False)

    def on_sent(self) -> None:
        """Note when the whole call was out."""
        now = trio.current_time()
        arrived_at = self.record.call.arrived_at
        self.record.log_fields['sent_in'] = round(now - self.started_at, 4)
        self.record.log_fields['sent_after'] = round(now - arrived_at, 4)

    async def __aexit__(self, *_exception: object) -> None:
        """Count the end of the call."""
        now = trio.current_time()
        self.view.load.ended(now)
        # A refusal says nothing of the runner's health either.
        self.view.breaker.abandoned(now)

    def process_head(self, answer: RunnerAnswer) -> bool:
        """Learn from the head of an answer; tell whether it is final."""
        now = trio.current_time()
        load = answer.load
        if load:
            self.view.load.reported(load, now)
        if answer.refused:
            self.record.attempts -= 1
            self.exclude_runner('refused', answer.status)
            return False
        failing = answer.status >= _FIRST_SERVER_ERROR
        if failing and self.record.repeatable and self.record.can_attempt():
            self.view.breaker.failed(now)
            self.exclude_runner('failed', answer.status)
            return False
        self.outcome = _ANSWERED
        self.record.status = answer.status
        self.record_result(now, failing=failing)
        return True

    def record_result(self, now: float, *, failing: bool) -> None:
        """Update what is believed of the runner and its target."""
        if failing:
            self.view.breaker.failed(now)
            return
        self.view.breaker.succeeded()
        rates = self.choice.directory.rates_of(self.record.target)
        rates.learn_service(now - self.started_at)

    def handle_runner_left(self, error: RunnerLeftError) -> None:
        """Send the call elsewhere; that says nothing of the runner."""
        self.record.attempts -= 1
        self.exclude_runner('left', error)

    def handle_connection_lost(self, error: ConnectionLostError) -> None:
        """Learn from a connection that broke."""
        limits = DEFAULT_LIMITS
        if isinstance(error, AnswerTooLongError):
            limits = _OPEN_AT_FIRST_FAILURE
            self.log_too_long(error)
        self.view.breaker.failed(trio.current_time(), limits)
        if self.outcome not in {'', _ANSWERED}:
            # Its head said already what became of the call.
            return
        if not error.sent:
            self.record.attempts -= 1
        self.exclude_runner('lost', error)

    def log_too_long(self, error: AnswerTooLongError) -> None:
        """Log a server that sends without end."""
        events.ANSWER_TOO_LONG.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.record.runner,
            status=self.record.status,
            outcome=self.outcome,
            problem=error.message,
        )

    def exclude_runner(self, outcome: str, problem: object) -> None:
        """Send the call to another runner from now on."""
        self.outcome = outcome
        self.record.refusals += 1
        self.record.excluded_runners.add(self.view.runner.runner_id)
        events.ATTEMPT_FAILED.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.view.runner.runner_id,
            outcome=outcome,
            problem=problem,
            attempts=self.record.attempts,
            **self.record.log_fields,
        )
