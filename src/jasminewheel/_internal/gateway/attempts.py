"""Send a call to runners until one takes it, within what is allowed."""

import logging
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import Need, RunnerChoice
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
MOST_REFUSALS = 3
# A server that sends without end does so to each call that it gets.
_NO_PATIENCE = BreakerLimits(failures=1)
_FIRST_SERVER_ERROR = 500
_ANSWERED = 'answered'
_LOGGER = logging.getLogger(__name__)

Reader = Callable[[RunnerAnswer], Awaitable[None]]


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
    avoided: set[str] = field(factory=set)
    notes: dict[str, object] = field(factory=dict)

    @property
    def verdict(self) -> Verdict:
        """Return what is known while no answer came."""
        return Verdict.may_have_run if self.attempts else Verdict.not_run

    @property
    def repeatable(self) -> bool:
        """Tell whether the call may run more than once."""
        return self.route.kind is CallKind.safe

    def may_try(self) -> bool:
        """Tell whether another runner may be sent the call."""
        if self.refusals > MOST_REFUSALS:
            return False
        if self.repeatable:
            return self.attempts < self.route.max_attempts
        return not self.attempts


@frozen
class Attempts:
    """Choose runners, send, and learn from what comes back."""

    choice: RunnerChoice
    port: RunnerPort

    async def run(
        self, record: CallRecord, body: bytes, need: Need, read: Reader
    ) -> None:
        """Read the answer of the runner that takes the call.

        Raise UnavailableError if none ran it, TargetFailedError if one may
        have, and DeadlineError when the time is up.
        """
        done = False
        while not done:
            view = self.next_view(record, need)
            done = await self.try_once(record, view, body, read)

    async def try_once(
        self, record: CallRecord, view: RunnerView, body: bytes, read: Reader
    ) -> bool:
        """Send to one runner; tell whether its answer was read."""
        sending = _Sending(view, record, self.choice, trio.current_time())
        attempt = self.attempt(record, sending, body)
        try:
            async with sending, self.port.attempt(attempt) as answer:
                if sending.takes(answer):
                    await read(answer)
                    return True
                await answer.drop_rest()
        except RunnerLeftError as error:
            sending.left(error)
        except ConnectionLostError as error:
            sending.lost(error)
            if not record.may_try():
                raise failed(record, error.message) from error
        return False

    def next_view(self, record: CallRecord, need: Need) -> RunnerView:
        """Return the next runner; raise if there is none or no time."""
        now = trio.current_time()
        if now >= record.deadline_at:
            raise DeadlineError('the time is up', verdict=record.verdict)
        view = None
        if record.may_try():
            view = self.choice.choose(need, now)
        if view is None:
            raise failed(record, f'no runner of {record.target} takes it')
        return view

    def attempt(
        self, record: CallRecord, sending: '_Sending', body: bytes
    ) -> Attempt:
        """Return what is sent to the runner."""
        return Attempt(
            call=record.call,
            runner=sending.view.runner,
            body=body,
            seconds_left=record.deadline_at - trio.current_time(),
            repeatable=record.repeatable,
            watch=sending,
            priority=record.route.priority,
        )


def failed(record: CallRecord, problem: str) -> Exception:
    """Return the error of a call that no runner answered."""
    if record.verdict is Verdict.not_run:
        return UnavailableError(
            problem, retry_after_seconds=RETRY_AFTER_SECONDS
        )
    return TargetFailedError(problem, verdict=Verdict.may_have_run)


@define(eq=False)
class _Sending:
    view: RunnerView
    record: CallRecord
    choice: RunnerChoice
    started_at: float
    outcome: str = ''

    async def __aenter__(self) -> None:
        """Count the call at its runner; note what was believed of it."""
        self.record.notes.update(self.beliefs())
        self.record.runner = self.view.runner.runner_id
        self.record.attempts += 1
        self.view.load.started(self.started_at)
        self.view.breaker.sent(self.started_at)

    def beliefs(self) -> dict[str, object]:
        """Return what decided on the runner, and how old that is."""
        load = self.view.load
        contact = self.choice.directory.contact
        return {
            'believed_load': load.estimate(self.started_at),
            'own_load': load.own_running,
            'report_age': round(self.started_at - load.reported_at, 2),
            'list_revision': contact.revision,
            'list_age': round(contact.report_age(self.started_at), 2),
            'unlisted': self.view.unlisted,
        }

    def sending(self) -> None:
        """Note how long the connection took; check the runner again."""
        now = trio.current_time()
        waited = round(now - self.started_at, 4)
        self.record.notes['connected_in'] = waited
        if not self.choice.directory.still_usable(self.view, now):
            raise RunnerLeftError(f'it left within {waited} s', sent=False)

    def sent(self) -> None:
        """Note when the whole call was out."""
        now = trio.current_time()
        arrived_at = self.record.call.arrived_at
        self.record.notes['sent_in'] = round(now - self.started_at, 4)
        self.record.notes['sent_after'] = round(now - arrived_at, 4)

    async def __aexit__(self, *_exception: object) -> None:
        """Count the end of the call."""
        now = trio.current_time()
        self.view.load.ended(now)
        # A refusal says nothing of the runner's health either.
        self.view.breaker.abandoned(now)

    def takes(self, answer: RunnerAnswer) -> bool:
        """Learn from the head of an answer; tell whether it is final."""
        now = trio.current_time()
        load = answer.load
        if load:
            self.view.load.reported(load, now)
        if answer.refused:
            self.record.attempts -= 1
            self.avoid('refused', answer.status)
            return False
        failing = answer.status >= _FIRST_SERVER_ERROR
        if failing and self.record.repeatable and self.record.may_try():
            self.view.breaker.failed(now)
            self.avoid('failed', answer.status)
            return False
        self.outcome = _ANSWERED
        self.record.status = answer.status
        self.learn(now, failing=failing)
        return True

    def learn(self, now: float, *, failing: bool) -> None:
        """Update what is believed of the runner and its target."""
        if failing:
            self.view.breaker.failed(now)
            return
        self.view.breaker.succeeded()
        rates = self.choice.directory.rates_of(self.record.target)
        rates.learn_service(now - self.started_at)

    def left(self, error: RunnerLeftError) -> None:
        """Send the call elsewhere; that says nothing of the runner."""
        self.record.attempts -= 1
        self.avoid('left', error)

    def lost(self, error: ConnectionLostError) -> None:
        """Learn from a connection that broke."""
        limits = DEFAULT_LIMITS
        if isinstance(error, AnswerTooLongError):
            limits = _NO_PATIENCE
            self.note_too_long(error)
        self.view.breaker.failed(trio.current_time(), limits)
        if self.outcome not in {'', _ANSWERED}:
            # Its head said already what became of the call.
            return
        if not error.sent:
            self.record.attempts -= 1
        self.avoid('lost', error)

    def note_too_long(self, error: AnswerTooLongError) -> None:
        """Log a server that sends without end."""
        events.ANSWER_TOO_LONG.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.record.runner,
            status=self.record.status,
            outcome=self.outcome,
            problem=error.message,
        )

    def avoid(self, outcome: str, problem: object) -> None:
        """Send the call to another runner from now on."""
        self.outcome = outcome
        self.record.refusals += 1
        self.record.avoided.add(self.view.runner.runner_id)
        events.ATTEMPT_FAILED.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.view.runner.runner_id,
            outcome=outcome,
            problem=problem,
            attempts=self.record.attempts,
            **self.record.notes,
        )
