"""Record what callers and back ends see, and check it as it comes."""

from collections import Counter

from attrs import define, field, frozen

from tests.platform_fleet import ReceivedAnswer
from tests.soak.interval_log import SOAK, STORE, IntervalLog

NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
LOST_TURN_STATUSES = frozenset((404, 410))
OK = 200
TURNS = 'turns'
# The route that only one version of the configuration has.
OWN = 'own'
SAFE_ROUTES = frozenset(('look', OWN))
TOKENS_PER_EVENT = 2
RETENTION_SECONDS = 60.0
# The stated bound on work that goes on after its caller left.
CANCEL_SECONDS = 0.5
# Between the end of a request's time and the last byte of its answer.
END_SLACK_SECONDS = 1.0
# The stated bound on new work for a runner that leaves, for entries that were
# in touch with the store for some time.
DRAIN_SECONDS = 2.5
CONTACT_SECONDS = 4.0
# A fault's effect on what is under way may outlast it by this.
AFTERMATH_SECONDS = 1.0


@define(eq=False)
class Run:
    """Hold one run of a request at a runner."""

    runner: str
    began: float
    ended: float | None = None
    # All bytes of the runner's answer; None if it gives no whole answer.
    answer: bytes | None = None


@define(eq=False)
class Sent:
    """Hold one attempt of a client, and what came of it."""

    call_id: str
    route: str
    entry: str
    seconds: float
    prompt: bytes = b''
    program_id: str = ''
    budget: int = 0
    most_tokens: int = 0
    # When the turn that this one continues was answered; 0 for none.
    previous_kept_at: float = 0
    sent_at: float = 0
    cancelled_at: float | None = None
    refused: bool = False
    runs: list[Run] = field(factory=list)


@frozen
class Violation:
    """Hold a promise that was broken, and the request that shows it."""

    promise: str
    call_id: str
    seen: str

    def to_text(self) -> str:
        """Return one line."""
        return f'{self.promise}: request {self.call_id}: {self.seen}'


@define(eq=False)
class Ledger:
    """Hold the attempts of all clients, and what was violated."""

    faults: IntervalLog
    sent: dict[str, Sent] = field(factory=dict)
    tokens: Counter = field(factory=Counter)
    outcomes: Counter = field(factory=Counter)
    violations: list[Violation] = field(factory=list)
    # Since when runners leave, by the store's word.
    left: dict[str, float] = field(factory=dict)

    def violate(self, promise: str, call_id: str, seen: str) -> None:
        """Note a violation."""
        self.violations.append(Violation(promise, call_id, seen))

    def open(self, sent: Sent, now: float) -> None:
        """Note an attempt before its first byte goes out."""
        assert sent.call_id not in self.sent, 'the soak names a call twice'
        sent.sent_at = now
        self.sent[sent.call_id] = sent

    def began(self, call_id: str, runner: str, body: bytes, now: float) -> Run:
        """Note that a runner runs a request."""
        run = Run(runner, now)
        sent = self.sent.get(call_id)
        if sent is None:
            self.violate('own requests', call_id, f'{runner} got it unasked')
            return run
        sent.runs.append(run)
        if sent.route not in SAFE_ROUTES and len(sent.runs) > 1:
            runners = [one.runner for one in sent.runs]
            self.violate('at most once', call_id, f'ran at {runners}')
        if sent.refused:
            self.violate('true refusals', call_id, f'ran later at {runner}')
        if sent.prompt != body:
            self.violate(
                'histories', call_id, f'{body!r} instead of {sent.prompt!r}'
            )
        self.check_cancelled(sent, run, now)
        self.check_left(sent, run, now)
        return run

    def finished(self, call_id: str, run: Run, now: float) -> None:
        """Note the end of a run."""
        run.ended = now
        sent = self.sent.get(call_id)
        if sent:
            self.check_cancelled(sent, run, now)

    def check_cancelled(self, sent: Sent, run: Run, now: float) -> None:
        """Check that a run does not outlast its caller."""
        left = sent.cancelled_at
        if left is None or now <= left + CANCEL_SECONDS:
            return
        late = round(now - left, 2)
        if not self.excused(sent, left, now):
            self.violate(
                'cancelled work stops',
                sent.call_id,
                f'at {run.runner}, {late} s after it was given up',
            )

    def check_left(self, sent: Sent, run: Run, now: float) -> None:
        """Check that a runner that leaves gets no new work."""
        left = self.left.get(run.runner, now)
        ways = {
            SOAK,
            STORE,
            sent.entry,
            f'{sent.entry}>{STORE}',
            f'{sent.entry}>{run.runner}',
        }
        late = round(now - left, 2)
        in_trouble = self.faults.touched(ways, left - CONTACT_SECONDS, now)
        if late > DRAIN_SECONDS and not in_trouble:
            self.violate(
                'leaving runners',
                sent.call_id,
                f'at {run.runner}, {late} s after it left',
            )

    def excused(self, sent: Sent, since: float, until: float) -> bool:
        """Tell whether the entry was in trouble about that time."""
        ways = {
            SOAK,
            sent.entry,
            *(f'{sent.entry}>{one.runner}' for one in sent.runs),
        }
        return self.faults.touched(ways, since - AFTERMATH_SECONDS, until)

    def received(self, sent: Sent, events: int) -> None:
        """Count tokens that were handed out, and check the budget."""
        if not sent.budget:
            return
        self.tokens[sent.program_id] += events * TOKENS_PER_EVENT
        handed_out = self.tokens[sent.program_id]
        if handed_out > sent.budget + sent.most_tokens:
            self.violate(
                'budgets', sent.call_id, f'{handed_out} of {sent.budget}'
            )

    def answered(self, sent: Sent, got: ReceivedAnswer, now: float) -> None:
        """Check what a client received."""
        self.outcomes[(sent.route, got.status if got.whole else 0)] += 1
        if not got.whole:
            return
        if got.status == OK:
            self.check_success(sent, got)
        if got.status in NOT_RUN_STATUSES:
            self.check_refusal(sent, got)
        if got.status in LOST_TURN_STATUSES:
            self.check_absence(sent, got, now)

    def check_success(self, sent: Sent, got: ReceivedAnswer) -> None:
        """Check that a success is a runner's whole answer."""
        signature = got.headers.get('response-signature', '')
        answers = {
            f'{one.runner}.{sent.call_id}': one.answer for one in sent.runs
        }
        if answers.get(signature) != got.body:
            self.violate(
                'whole answers',
                sent.call_id,
                f'{signature} {got.body!r} of {answers}',
            )
        if got.headers.get('request-id') != sent.call_id:
            self.violate('right owner', sent.call_id, f'{got.headers}')

    def check_refusal(self, sent: Sent, got: ReceivedAnswer) -> None:
        """Check that a refused request has not run."""
        sent.refused = True
        if sent.runs:
            runners = [one.runner for one in sent.runs]
            self.violate(
                'true refusals', sent.call_id, f'{got.status}, ran at {runners}'
            )

    def check_absence(
        self, sent: Sent, got: ReceivedAnswer, now: float
    ) -> None:
        """Check that only what may be unknown is called so."""
        if sent.route == OWN:
            return
        age = now - sent.previous_kept_at
        if not sent.previous_kept_at or age < RETENTION_SECONDS:
            self.violate(
                'kept turns' if sent.route == TURNS else 'configuration',
                sent.call_id,
                f'{got.status}, the turn before is {age:.1f} s old',
            )

    def unanswered(self, sent: Sent, now: float) -> None:
        """Check a request that nothing ended in its time."""
        self.outcomes[(sent.route, -1)] += 1
        since = sent.sent_at - AFTERMATH_SECONDS
        if not self.faults.touched({SOAK, sent.entry}, since, now):
            waited = round(now - sent.sent_at, 2)
            self.violate(
                'bounded ends', sent.call_id, f'no end after {waited} s'
            )
