"""Choose the runner of a prompt that some runners may have read before."""

from random import Random

from attrs import define, field

from jasminewheel._internal.gateway.held_prompts import HeldPrompts, Prompt
from jasminewheel._internal.gateway.reading_time import (
    ReadingTime,
    ReadingTimes,
    reading_pace,
)
from jasminewheel._internal.gateway.runners import RunnerDirectory, RunnerView
from jasminewheel._internal.peer.distance import (
    SAME_REGION_SECONDS,
    Distance,
)

# Runners compared for a prompt beside those that may hold it: in the region,
# and anywhere.
NEAR_COMPARED = 3
FAR_COMPARED = 1


@define(eq=False)
class PromptReading:
    """Track a prompt on its way to a runner, to learn from its answer."""

    view: RunnerView
    times: ReadingTime
    started_at: float
    prompt_tokens: int
    missing_tokens: int
    expected_tokens: float
    cost_seconds: float

    def log_fields(self) -> dict[str, object]:
        """Return the estimates behind the choice."""
        now = self.started_at
        return {
            'prompt_tokens': self.prompt_tokens,
            'missing_tokens': self.missing_tokens,
            'expected_load': round(self.times.load(self.view, now), 1),
            'reading_cost': round(self.cost_seconds, 4),
            'reading_pace': round(reading_pace(self.view, now), 2),
        }

    def end(self) -> None:
        """Count the prompt as read, or as given up."""
        self.view.reading.pop(id(self), None)

    def finish(self, now: float) -> None:
        """Learn from the time until the answer began."""
        self.end()
        self.times.learn(
            self.view,
            self.missing_tokens,
            self.expected_tokens,
            now - self.started_at,
            now,
        )


@define(eq=False)
class PromptChoice:
    """Choose by the time that reading a prompt costs its caller and others."""

    directory: RunnerDirectory
    distance: Distance
    random: Random
    prompts: HeldPrompts = field(factory=HeldPrompts)
    times: ReadingTimes = field(factory=ReadingTimes)

    def choose(
        self, usable: list[RunnerView], prompt: Prompt, now: float
    ) -> RunnerView | None:
        """Return one of the usable runners; None if there is none.

        Of the runners that hold nothing of the line only a few are compared,
        at random: all entries know about the same loads, some time late, and
        would send to the same runner.
        """
        self.times.used_at = now
        compared = [
            view
            for view in usable
            if self.prompts.was_sent(view.runner.runner_id, prompt)
        ]
        compared.extend(self.sample(usable))
        return min(
            compared,
            key=lambda view: self.cost_seconds(view, prompt, now),
            default=None,
        )

    def knows(self, prompt: Prompt) -> bool:
        """Return whether this entry has sent an earlier prompt of the line."""
        return prompt.parts[-1].part_id in self.prompts.parts

    def sample(self, usable: list[RunnerView]) -> list[RunnerView]:
        """Return some runners at random, most of them near ones."""
        near = [one for one in usable if self.is_near(one)]
        found = self.random.sample(near, min(NEAR_COMPARED, len(near)))
        far = self.random.sample(usable, min(FAR_COMPARED, len(usable)))
        return found + far

    def is_near(self, view: RunnerView) -> bool:
        """Return whether a runner is in the region of this entry."""
        return self.distance(view.runner.zone) <= SAME_REGION_SECONDS

    def cost_seconds(
        self, view: RunnerView, prompt: Prompt, now: float
    ) -> float:
        """Return the cost of the way, of reading and of waiting for a slot."""
        times = self.times.of_target(prompt.target)
        missing = self.missing_tokens(view, prompt, now)
        cost = self.distance(view.runner.zone)
        cost += times.cost_seconds(view, missing, now)
        slots = max(1, view.runner.slots)
        waiting = max(0, times.load(view, now) + 1 - slots)
        service = self.directory.rates_of(prompt.target).service_seconds
        return cost + waiting * service / slots

    def missing_tokens(
        self, view: RunnerView, prompt: Prompt, now: float
    ) -> int:
        """Return how many tokens of the prompt the runner has to read."""
        runner_id = view.runner.runner_id
        held = self.prompts.held_tokens(runner_id, prompt, now)
        return max(0, prompt.tokens - held)

    def begin_reading(
        self, view: RunnerView, prompt: Prompt, now: float
    ) -> PromptReading:
        """Record that a runner is sent a prompt."""
        times = self.times.of_target(prompt.target)
        missing = self.missing_tokens(view, prompt, now)
        reading = PromptReading(
            view,
            times,
            now,
            prompt.tokens,
            missing,
            times.tokens(view, missing, now),
            self.cost_seconds(view, prompt, now),
        )
        self.prompts.record(view.runner.runner_id, prompt, now)
        view.reading[id(reading)] = missing
        return reading

    def record_load(self, target: str, calls: int) -> None:
        """Record the number of calls that a runner reported."""
        self.times.of_target(target).record_load(calls)
