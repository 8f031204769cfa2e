"""Keep to the rate of requests that a runner takes from all entries together.

An entry sees only its own answers. What it may send follows from the rate that
the runner names and from how many entries may send to it. Few of a large fleet
do: each needs at least a whole request, which of all entries would be too many.
"""

import math
from collections.abc import Collection
from zlib import crc32

from attrs import define

# Entries that send regularly to a runner: this many for a rate near zero, and
# one more for each request a second.
MIN_SENDERS = 3
# The share of the rate that is left to all other entries. They notice by it
# that the limit has ended.
OTHERS_SHARE = 0.2
# A lower rate counts as this one, so that a runner is asked now and then
# whether its limit still holds. It is 1 request in 20 s, from all entries.
MIN_RATE = 0.05


@define(eq=False)
class RunnerLimit:
    """Track the rate that one runner names, and this entry's last request."""

    # Requests a second that the runner takes from all entries together.
    rate: float
    # When the runner first and last named it.
    since: float
    named_at: float
    # The part of a spacing that passes before the first request, so that
    # entries that learn of a limit together don't send together.
    first_part: float
    sent_at: float | None = None

    def name(self, rate: float, now: float) -> None:
        """Record that the runner names its rate again."""
        self.rate = rate
        self.named_at = now

    def ready_at(self, spacing_seconds: float) -> float:
        """Return when this entry may send the next request."""
        if self.sent_at is None:
            return self.since + self.first_part * spacing_seconds
        return self.sent_at + spacing_seconds

    def ends_by_answer(self, asked_at: float) -> bool:
        """Return whether an answer that names no limit ends this one.

        An answer to an older request may only have taken longer.
        """
        return asked_at > self.named_at


def spacing_seconds(
    own_name: str, other_names: Collection[str], runner_id: str, rate: float
) -> float:
    """Return the time between this entry's requests to a limited runner."""
    rate = max(rate, MIN_RATE)
    names = {own_name, *other_names}
    senders = min(len(names), MIN_SENDERS + math.floor(rate))
    others = len(names) - senders
    own_score = _score(own_name, runner_id)
    rank = sum(_score(name, runner_id) < own_score for name in names)
    if rank >= senders:
        return others / (rate * OTHERS_SHARE)
    if others:
        rate *= 1 - OTHERS_SHARE
    return senders / rate


def _score(name: str, runner_id: str) -> tuple[int, str]:
    return crc32(f'{name}/{runner_id}'.encode()), name
