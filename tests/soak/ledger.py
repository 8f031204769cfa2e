"""Record what clients and runners receive, and check each guarantee."""

from collections import Counter

from attrs import define, field, frozen

from tests.platform_fleet import ReceivedAnswer
from tests.soak.fault_log import SOAK, STORE, FaultLog

NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
MISSING_STATUSES = frozenset((404, 410))
OK = 200
TURNS = 'turns'
# Each version of the configuration has a route of this name with its own
# prefix, so only that version can serve it.
VERSION_ROUTE = 'own'
SAFE_ROUTES = frozenset(('look', VERSION_ROUTE))
TOKENS_PER_EVENT = 2
RETENTION_SECONDS = 60.0
# The documented bound on work that continues after its caller disconnected.
CANCEL_SECONDS = 0.5
# Longest time from a request's deadline to the last byte of its answer.
END_SLACK_SECONDS = 1.0
# The documented bound on new work for a leaving runner. It applies only if the
# entry and its links to the store and the runner had no fault from
# CONTACT_SECONDS before the runner began to leave.
DRAIN_SECONDS = 2.5
CONTACT_SECONDS = 4.0
# Time by which the effect of a fault on running requests may outlast it.
AFTERMATH_SECONDS = 1.0


@define(eq=False)
class Run:
    """Represent one run of a request at a runner."""

    runner: str
    started_at: float
    ended_at: float | None = None
    # The body of the runner's answer; None if the answer is incomplete.
    answer: bytes | None = None


@define(eq=False)
class Attempt:
    """Represent one attempt of a client, and its runs."""

    call_id: str
    route: str
    entry: str
    deadline_seconds: float
    prompt: bytes = b''
    program_id: str = ''
    budget: int = 0
    max_tokens: int = 0
    # Time at which the previous turn was answered; 0 if there is none.
    previous_stored_at: float = 0
    sent_at: float = 0
    cancelled_at: float | None = None
    refused: bool = False
    runs: list[Run] = field(factory=list)


@frozen
class Violation:
    """Represent a broken guarantee, and the request that shows it."""

    promise: str
    call_id: str
    detail: str

    def to_text(self) -> str:
        """Return the violation as one line."""
        return f'{self.promise}: request {self.call_id}: {self.detail}'


@define(eq=False)
class Ledger:
    """Record the attempts of all clients, and the violations."""

    faults: FaultLog
    attempts: dict[str, Attempt] = field(factory=dict)
    tokens: Counter = field(factory=Counter)
    outcomes: Counter = field(factory=Counter)
    violations: list[Violation] = field(factory=list)
    # Time at which each leaving runner was marked so in the store.
    leaving_since: dict[str, float] = field(factory=dict)

    def record_violation(self, promise: str, call_id: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(promise, call_id, detail))

    def record_attempt(self, attempt: Attempt, now: float) -> None:
        """Record an attempt before its first byte is sent."""
        assert attempt.call_id not in self.attempts, (
            'request identifier used twice'
        )
        attempt.sent_at = now
        self.attempts[attempt.call_id] = attempt

    def record_start(
        self, call_id: str, runner: str, body: bytes, now: float
    ) -> Run:
        """Record that a runner starts a request, and check it."""
        run = Run(runner, now)
        attempt = self.attempts.get(call_id)
        if attempt is None:
            self.record_violation(
                'own requests',
                call_id,
                f'{runner} ran a request that no client sent',
            )
            return run
        attempt.runs.append(run)
        if attempt.route not in SAFE_ROUTES and len(attempt.runs) > 1:
            runners = [one.runner for one in attempt.runs]
            self.record_violation('at most once', call_id, f'ran at {runners}')
        if attempt.refused:
            self.record_violation(
                'true refusals', call_id, f'ran at {runner} after its refusal'
            )
        if attempt.prompt != body:
            self.record_violation(
                'histories',
                call_id,
                f'got {body!r} instead of {attempt.prompt!r}',
            )
        self.check_cancelled(attempt, run, now)
        self.check_leaving_runner(attempt, run, now)
        return run

    def record_end(self, call_id: str, run: Run, now: float) -> None:
        """Record the end of a run."""
        run.ended_at = now
        attempt = self.attempts.get(call_id)
        if attempt:
            self.check_cancelled(attempt, run, now)

    def check_cancelled(self, attempt: Attempt, run: Run, now: float) -> None:
        """Check that a run ends soon after its caller disconnected."""
        cancelled_at = attempt.cancelled_at
        if cancelled_at is None or now <= cancelled_at + CANCEL_SECONDS:
            return
        late_seconds = round(now - cancelled_at, 2)
        if not self.is_excused(attempt, cancelled_at, now):
            self.record_violation(
                'cancelled work stops',
                attempt.call_id,
                f'at {run.runner}, {late_seconds} s after its cancellation',
            )

    def check_leaving_runner(
        self, attempt: Attempt, run: Run, now: float
    ) -> None:
        """Check that a leaving runner receives no new work."""
        leaving_since = self.leaving_since.get(run.runner, now)
        subjects = {
            SOAK,
            STORE,
            attempt.entry,
            f'{attempt.entry}>{STORE}',
            f'{attempt.entry}>{run.runner}',
        }
        late_seconds = round(now - leaving_since, 2)
        in_trouble = self.faults.has_fault_between(
            subjects, leaving_since - CONTACT_SECONDS, now
        )
        if late_seconds > DRAIN_SECONDS and not in_trouble:
            self.record_violation(
                'leaving runners',
                attempt.call_id,
                f'at {run.runner}, {late_seconds} s after it began to leave',
            )

    def is_excused(self, attempt: Attempt, since: float, until: float) -> bool:
        """Return whether a fault of the entry or its links explains a delay."""
        subjects = {
            SOAK,
            attempt.entry,
            *(f'{attempt.entry}>{one.runner}' for one in attempt.runs),
        }
        return self.faults.has_fault_between(
            subjects, since - AFTERMATH_SECONDS, until
        )

    def record_events(self, attempt: Attempt, events: int) -> None:
        """Count delivered tokens, and check the budget of the program."""
        if not attempt.budget:
            return
        self.tokens[attempt.program_id] += events * TOKENS_PER_EVENT
        delivered = self.tokens[attempt.program_id]
        if delivered > attempt.budget + attempt.max_tokens:
            self.record_violation(
                'budgets',
                attempt.call_id,
                f'{delivered} tokens, budget {attempt.budget}',
            )

    def record_answer(
        self, attempt: Attempt, answer: ReceivedAnswer, now: float
    ) -> None:
        """Check an answer that a client received."""
        self.outcomes[
            (attempt.route, answer.status if answer.whole else 0)
        ] += 1
        if not answer.whole:
            return
        if answer.status == OK:
            self.check_success(attempt, answer)
        if answer.status in NOT_RUN_STATUSES:
            self.check_refusal(attempt, answer)
        if answer.status in MISSING_STATUSES:
            self.check_missing(attempt, answer, now)

    def check_success(self, attempt: Attempt, answer: ReceivedAnswer) -> None:
        """Check that a success is the complete answer of a runner."""
        signature = answer.headers.get('response-signature', '')
        answers = {
            f'{one.runner}.{attempt.call_id}': one.answer
            for one in attempt.runs
        }
        if answers.get(signature) != answer.body:
            self.record_violation(
                'whole answers',
                attempt.call_id,
                f'{signature}: {answer.body!r}, runners sent {answers}',
            )
        if answer.headers.get('request-id') != attempt.call_id:
            self.record_violation(
                'right owner', attempt.call_id, f'{answer.headers}'
            )

    def check_refusal(self, attempt: Attempt, answer: ReceivedAnswer) -> None:
        """Check that a refused request did not run."""
        attempt.refused = True
        if attempt.runs:
            runners = [one.runner for one in attempt.runs]
            self.record_violation(
                'true refusals',
                attempt.call_id,
                f'status {answer.status}, but ran at {runners}',
            )

    def check_missing(
        self, attempt: Attempt, answer: ReceivedAnswer, now: float
    ) -> None:
        """Check that only expired turns and old versions are not found."""
        if attempt.route == VERSION_ROUTE:
            return
        age_seconds = now - attempt.previous_stored_at
        if not attempt.previous_stored_at or age_seconds < RETENTION_SECONDS:
            self.record_violation(
                'kept turns' if attempt.route == TURNS else 'configuration',
                attempt.call_id,
                f'{answer.status}, previous turn is {age_seconds:.1f} s old',
            )

    def record_timeout(self, attempt: Attempt, now: float) -> None:
        """Check a request without an answer by its deadline."""
        self.outcomes[(attempt.route, -1)] += 1
        since = attempt.sent_at - AFTERMATH_SECONDS
        if not self.faults.has_fault_between({SOAK, attempt.entry}, since, now):
            waited_seconds = round(now - attempt.sent_at, 2)
            self.record_violation(
                'bounded ends',
                attempt.call_id,
                f'no answer after {waited_seconds} s',
            )
