"""Send a call to runners until one accepts it, within the retry limits."""

import logging
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field, frozen

from jasminewheel._internal.crashes.crash_board import MAX_CRASHES
from jasminewheel._internal.crashes.crash_guard import CrashGuard
from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import CallRequirements, RunnerChoice
from jasminewheel._internal.gateway.held_prompts import Prompt
from jasminewheel._internal.gateway.ports import (
    Attempt,
    RunnerAnswer,
    RunnerPort,
)
from jasminewheel._internal.gateway.prompt_choice import PromptReading
from jasminewheel._internal.gateway.routes import CallKind, Route
from jasminewheel._internal.gateway.runners import RunnerView
from jasminewheel._internal.gateway.urgency import urgency
from jasminewheel._internal.organisations.organisation import Organisation
from jasminewheel._internal.organisations.rates import (
    CallRates,
    UnlimitedRates,
)
from jasminewheel._internal.scheduling.breaker import (
    DEFAULT_LIMITS,
    BreakerLimits,
)
from jasminewheel.errors import (
    AnswerMemoryError,
    AnswerTooLongError,
    ConnectionLostError,
    DeadlineError,
    RunnerLeftError,
    TargetFailedError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

RETRY_AFTER_SECONDS = 0.15
# Refusals and failed connections allowed per call, besides the attempts after
# which the call may have run.
MAX_REFUSALS = 3
# A server that sends an endless answer does so for every call, so the breaker
# opens at the first one.
_OPEN_AT_FIRST_FAILURE = BreakerLimits(failures=1)
_FIRST_SERVER_ERROR = 500
_ANSWERED = 'answered'
# Raised where this process ends an answer, not its runner.
_OWN_LIMIT_ERRORS = (AnswerTooLongError, AnswerMemoryError)
_LOGGER = logging.getLogger(__name__)

AnswerReader = Callable[[RunnerAnswer], Awaitable[None]]


@define(eq=False)
class CallRecord:
    """Track the attempts of one call, for retry decisions and logs."""

    call: Call
    route: Route
    target: str
    deadline_at: float
    runner: str = ''
    organisation: Organisation | None = None
    # The runner of the turn before, if its record names it.
    previous_runner: str = ''
    status: int = 0
    # Attempts after which the call may have run.
    attempts: int = 0
    refusals: int = 0
    excluded_runners: set[str] = field(factory=set)
    log_fields: dict[str, object] = field(factory=dict)

    @property
    def verdict(self) -> Verdict:
        """Return whether the call may have run, as long as it is unanswered."""
        return Verdict.may_have_run if self.attempts else Verdict.not_run

    @property
    def repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        return self.route.kind is CallKind.safe

    @property
    def priority(self) -> int:
        """Return the priority of the organisation, or that of the route."""
        if self.organisation and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def organisation_name(self) -> str:
        """Return the name of the organisation; empty if there is none."""
        return self.organisation.name if self.organisation else ''

    @property
    def prompt(self) -> Prompt | None:
        """Return the prompt, if runners that hold it are to be preferred.

        Where no organisations share the runners, a turn whose chain is kept
        here goes by its former runner alone.
        """
        turn = self.call.turn
        route = self.route
        by_runner = route.retains_history and not self.organisation
        if by_runner or not route.prefers_known_runner:
            return None
        if not turn.prompt_parts:
            return None
        return Prompt(
            self.target,
            turn.prompt_parts,
            turn.prompt_tokens,
            turn.program_id,
            self.previous_runner,
        )

    @property
    def budget_id(self) -> str:
        """Return the name under which the program's tokens are counted."""
        program_id = self.call.turn.program_id
        name = self.organisation_name
        return f'{name}/{program_id}' if name else program_id

    def can_attempt(self) -> bool:
        """Return whether the call may be sent to another runner."""
        if self.refusals > MAX_REFUSALS:
            return False
        if self.repeatable:
            return self.attempts < self.route.max_attempts
        return not self.attempts


@frozen
class RetryingSender:
    """Send calls to chosen runners, and retry those that may be repeated."""

    choice: RunnerChoice
    port: RunnerPort
    rates: CallRates = field(factory=UnlimitedRates)
    crashes: CrashGuard = field(factory=CrashGuard)

    async def admit(self, record: CallRecord) -> None:
        """Count the call towards the rate of its organisation.

        This comes last, as a call that is refused for another reason must not
        count. Raise CallError if the organisation is over its rate.
        """
        if record.organisation and record.organisation.rate:
            await self.rates.take(record.organisation)

    async def run(
        self,
        record: CallRecord,
        body: bytes,
        requirements: CallRequirements,
        read: AnswerReader,
    ) -> None:
        """Send the call and read the answer of the runner that accepts it.

        Raise UnavailableError if no runner ran the call, TargetFailedError
        if one may have run it, and DeadlineError if the deadline is exceeded.
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
        """Send to one runner; return whether its answer was read."""
        tracked = _TrackedAttempt(
            view, record, self.choice, trio.current_time()
        )
        attempt = self.build_attempt(record, tracked, body)
        try:
            async with tracked, self.port.attempt(attempt) as answer:
                if tracked.process_head(answer):
                    await read(answer)
                    self.crashes.record_completion(
                        record.call, trio.current_time()
                    )
                    return True
                await answer.drop_rest()
        except RunnerLeftError as error:
            tracked.handle_runner_left(error)
        except ConnectionLostError as error:
            tracked.handle_connection_lost(error)
            if error.sent and not isinstance(error, _OWN_LIMIT_ERRORS):
                self.record_crash(record, view)
            if not record.can_attempt():
                raise unanswered_error(record, error.message) from error
        return False

    def record_crash(self, record: CallRecord, view: RunnerView) -> None:
        """Record that a runner's connection broke off in a call."""
        runner = view.runner
        self.crashes.record_crash(
            record.call,
            record.target,
            f'{runner.runner_id}/{runner.started_ms}',
            trio.current_time(),
        )

    def next_runner(
        self, record: CallRecord, requirements: CallRequirements
    ) -> RunnerView:
        """Return the next runner; raise if none is left or time ran out."""
        now = trio.current_time()
        if now >= record.deadline_at:
            raise DeadlineError('deadline exceeded', verdict=record.verdict)
        barred = self.crashes.barred_seconds(record.call, now)
        if barred:
            raise unanswered_error(
                record,
                f'at least {MAX_CRASHES} runners ended while they ran this'
                f' call; it is sent to none for {barred:.1f} s',
                retry_after_seconds=barred,
            )
        view = None
        if record.can_attempt():
            view = self.choice.choose(requirements, now)
        if view is None:
            raise self.no_runner_error(record, requirements, now)
        return view

    def no_runner_error(
        self, record: CallRecord, requirements: CallRequirements, now: float
    ) -> Exception:
        """Return the error of a call that no runner may be sent.

        Callers are told to return once a limit allows it, at spread times.
        """
        seconds = self.choice.limited_seconds(requirements, now)
        if not seconds:
            return unanswered_error(
                record, f'no runner of target {record.target} accepted the call'
            )
        return unanswered_error(
            record,
            f'the runners of target {record.target} are at their limits for'
            f' {seconds:.2f} s',
            retry_after_seconds=seconds * (1 + self.choice.random.random()),
        )

    def build_attempt(
        self, record: CallRecord, tracked: '_TrackedAttempt', body: bytes
    ) -> Attempt:
        """Return the attempt to send to the chosen runner."""
        return Attempt(
            call=record.call,
            runner=tracked.view.runner,
            body=body,
            seconds_left=record.deadline_at - trio.current_time(),
            repeatable=record.repeatable,
            observer=tracked,
            priority=self.priority(record),
            organisation=record.organisation_name,
        )

    def priority(self, record: CallRecord) -> int:
        """Return the priority that a runner gets; lower is more urgent.

        Where organisations share the runners, the state of the program counts.
        """
        prompt = record.prompt
        if record.organisation is None or prompt is None:
            return record.priority
        turn = record.call.turn
        begun = bool(turn.previous_id) or self.choice.prompts.knows(prompt)
        return urgency(record.priority, turn, begun=begun)


def unanswered_error(
    record: CallRecord,
    problem: str,
    *,
    retry_after_seconds: float = RETRY_AFTER_SECONDS,
) -> Exception:
    """Return the error of a call that no runner answered."""
    if record.verdict is Verdict.not_run:
        return UnavailableError(
            problem, retry_after_seconds=retry_after_seconds
        )
    return TargetFailedError(problem, verdict=Verdict.may_have_run)


@define(eq=False)
class _TrackedAttempt:
    view: RunnerView
    record: CallRecord
    choice: RunnerChoice
    started_at: float
    outcome: str = ''
    log_fields: dict[str, object] = field(factory=dict)
    reading: PromptReading | None = None

    async def __aenter__(self) -> None:
        """Count the call at its runner; record why the runner was chosen."""
        self.add_log_fields(**self.selection_fields())
        self.record.runner = self.view.runner.runner_id
        self.record.attempts += 1
        prompt = self.record.prompt
        if prompt:
            self.reading = self.choice.prompts.begin_reading(
                self.view, prompt, self.started_at
            )
            self.add_log_fields(**self.reading.log_fields())
        self.view.load.started(self.started_at)
        self.view.breaker.sent(self.started_at)
        if self.view.limit:
            self.view.limit.sent_at = self.started_at

    def selection_fields(self) -> dict[str, object]:
        """Return the estimates behind the choice, and their age in seconds."""
        load = self.view.load
        contact = self.choice.directory.contact
        return {
            'believed_load': load.estimate(self.started_at),
            'own_load': load.own_running,
            'report_age': round(self.started_at - load.reported_at, 2),
            'list_revision': contact.revision,
            'list_age': round(contact.read_age(self.started_at), 2),
            'unlisted': self.view.unlisted,
            'pace': round(self.view.pace.estimate(self.started_at), 1),
            **self.choice.limits.log_fields(self.view, self.started_at),
        }

    def add_log_fields(self, **fields: object) -> None:
        """Add fields to the log lines of the call."""
        self.log_fields.update(fields)
        self.record.log_fields.update(fields)

    def on_connected(self) -> None:
        """Record the connection time; check that the runner is still usable."""
        now = trio.current_time()
        waited = round(now - self.started_at, 4)
        self.add_log_fields(connected_in=waited)
        if not self.choice.directory.is_still_usable(self.view, now):
            raise RunnerLeftError(
                f'runner became unusable within {waited} s of being chosen',
                sent=False,
            )

    def on_sent(self) -> None:
        """Record when the whole call was sent."""
        now = trio.current_time()
        arrived_at = self.record.call.arrived_at
        self.add_log_fields(
            sent_in=round(now - self.started_at, 4),
            sent_after=round(now - arrived_at, 4),
        )

    async def __aexit__(self, *_exception: object) -> None:
        """Count the end of the call."""
        now = trio.current_time()
        self.view.load.ended(now)
        if not self.outcome:
            self.learn_pace(now, ended=False)
        if self.reading:
            self.reading.end()
        # A refusal is no evidence of the runner's health either way; a probe
        # that ends without a result must not keep the breaker waiting.
        self.view.breaker.abandoned(now)

    def process_head(self, answer: RunnerAnswer) -> bool:
        """Process the head of an answer; return whether the answer is final.

        An answer that is not final is discarded, and the call is retried.
        """
        now = trio.current_time()
        load = answer.load
        if load:
            self.view.load.reported(load, now)
            calls = load.running + load.waiting
            self.choice.prompts.record_load(self.record.target, calls)
        if answer.leaving:
            self.choice.directory.record_leaving(self.view)
        # A refusal may come from before the part that knows of a limit.
        if answer.limit_rate is not None or not answer.refused:
            self.choice.limits.record_answer(
                self.view, answer.limit_rate, self.started_at, now
            )
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
        # Another attempt may have been started beside this one.
        self.record.runner = self.view.runner.runner_id
        self.record.log_fields.update(self.log_fields)
        self.record.status = answer.status
        self.record_result(now, failing=failing)
        return True

    def record_result(self, now: float, *, failing: bool) -> None:
        """Update the runner's breaker and the service rate of its target."""
        if failing:
            self.view.breaker.failed(now)
            return
        self.view.breaker.succeeded()
        rates = self.choice.directory.rates_of(self.record.target)
        rates.learn_service(now - self.started_at)
        self.learn_pace(now, ended=True)
        if self.reading:
            self.reading.finish(now)

    def learn_pace(self, now: float, *, ended: bool) -> None:
        """Compare the time at this runner with the usual time of the route.

        The time to the start of a stream depends on its prompt, and tells
        nothing of the runner.
        """
        if self.record.route.kind is CallKind.streaming:
            return
        usual = self.choice.directory.route_rates_of(self.record.route.name)
        seconds = now - self.started_at
        ratio = seconds / usual.service_seconds
        if ended:
            self.view.pace.learn(ratio, now)
            usual.learn_service(seconds)
        else:
            self.view.pace.learn_at_least(ratio, now)

    def handle_runner_left(self, error: RunnerLeftError) -> None:
        """Exclude a runner that left; its breaker is not affected."""
        self.record.attempts -= 1
        self.exclude_runner('left', error)

    def handle_connection_lost(self, error: ConnectionLostError) -> None:
        """Count a lost connection as a failure of the runner."""
        limits = DEFAULT_LIMITS
        if isinstance(error, AnswerTooLongError):
            limits = _OPEN_AT_FIRST_FAILURE
            self.log_too_long(error)
        self.view.breaker.failed(trio.current_time(), limits)
        if self.outcome not in {'', _ANSWERED}:
            # The head of the answer already determined the outcome.
            return
        if not error.sent:
            self.record.attempts -= 1
        self.exclude_runner('lost', error)

    def log_too_long(self, error: AnswerTooLongError) -> None:
        """Log an answer that exceeds the limits."""
        events.ANSWER_TOO_LONG.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.record.runner,
            status=self.record.status,
            outcome=self.outcome,
            problem=error.message,
        )

    def exclude_runner(self, outcome: str, problem: object) -> None:
        """Exclude the runner from further attempts of this call."""
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
