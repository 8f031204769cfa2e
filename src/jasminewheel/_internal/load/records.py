"""Record the outcome of each program and call."""

from enum import Enum

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from jasminewheel._internal.load.answer import StreamedAnswer
from jasminewheel._internal.load.workload import ProgramClass
from jasminewheel.models.verdict import Verdict

_MAX_MICROSECONDS = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS = 1_000_000


class Outcome(Enum):
    """Enumerate the outcomes of a program."""

    finished = 'finished'
    refused = 'refused'
    failed = 'failed'


class Promise(Enum):
    """Enumerate the promises that the load tool checks."""

    whole_answer = 'each caller receives the whole answer to its request'
    at_most_once = 'a call that may not be repeated runs at most once'
    answered_ran = 'an answered call ran'
    not_run = 'a call refused as not run did not run'
    memory_released = 'no engine memory is held for ended programs'


@frozen
class Breach:
    """Represent one breach of a promise."""

    promise: Promise
    request_id: str
    detail: str


@frozen
class NonRepeatableCall:
    """Represent a call that must run at most once, with its verdict."""

    request_id: str
    verdict: Verdict


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)


@define(eq=False)
class Durations:
    """Collect durations in a histogram."""

    histogram: HdrHistogram = field(factory=make_histogram)

    def add(self, seconds: float) -> None:
        """Add one duration in seconds; the resolution is a microsecond."""
        self.histogram.record_value(max(1, round(seconds * _MICROSECONDS)))

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds, or 0 if there are no durations."""
        if not self.count:
            return 0
        found = self.histogram.get_value_at_percentile(percent)
        return found / _MICROSECONDS

    @property
    def count(self) -> int:
        """Return the number of durations."""
        return self.histogram.get_total_count()


@define(eq=False)
class ClassRecord:
    """Collect the outcomes and durations of one class of programs."""

    name: str
    caller: str
    favoured: bool
    programs: Durations = field(factory=Durations)
    first_tokens: Durations = field(factory=Durations)
    token_gaps: Durations = field(factory=Durations)
    outcomes: dict[Outcome, int] = field(factory=dict)
    calls: int = 0
    restarts: int = 0

    def record_answer(self, answer: StreamedAnswer) -> None:
        """Count a model's answer and record its token times."""
        self.calls += 1
        self.restarts += answer.restarts
        if answer.first_token_seconds is not None:
            self.first_tokens.add(answer.first_token_seconds)
        for gap in answer.token_gaps:
            self.token_gaps.add(gap)

    def record_end(self, outcome: Outcome, seconds: float) -> None:
        """Count the outcome; record the duration of finished programs only."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome is Outcome.finished:
            self.programs.add(seconds)


@define(eq=False)
class Records:
    """Collect the results of one run of the load tool."""

    classes: dict[str, ClassRecord] = field(factory=dict)
    once_calls: list[NonRepeatableCall] = field(factory=list)
    breaches: list[Breach] = field(factory=list)
    problems: dict[str, int] = field(factory=dict)
    # Tokens by prompt block; each block must be computed at least once.
    new_tokens: dict[str, int] = field(factory=dict)

    def class_record(self, program_class: ProgramClass) -> ClassRecord:
        """Return the record of a class; create it on first use."""
        found = self.classes.get(program_class.name)
        if found is None:
            found = ClassRecord(
                program_class.name, program_class.caller, program_class.favoured
            )
            self.classes[program_class.name] = found
        return found

    def count_problem(self, text: str) -> None:
        """Count an occurrence of a problem by its text."""
        self.problems[text] = self.problems.get(text, 0) + 1

    def record_breach(
        self, promise: Promise, request_id: str, detail: str
    ) -> None:
        """Record a breach of a promise."""
        self.breaches.append(Breach(promise, request_id, detail))
