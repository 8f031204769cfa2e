"""Apply the limits that runners name to what this entry sends."""

import logging
from collections.abc import Collection, Iterable
from random import Random
from typing import Protocol

from attrs import define, field

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.runners import RunnerView
from jasminewheel._internal.scheduling.limit import (
    RunnerLimit,
    spacing_seconds,
)

_LOGGER = logging.getLogger(__name__)


class EntryNames(Protocol):
    """Name the entries of the fleet."""

    own_vm: str

    def names(self) -> Collection[str]:
        """Return the names of the other entries."""


@define(eq=False)
class SingleEntry:
    """Name an entry without others."""

    own_vm: str = ''

    def names(self) -> Collection[str]:
        """Return no names."""
        return ()


@define(eq=False)
class RunnerLimits:
    """Decide when this entry may send to runners that name a limit."""

    entries: EntryNames = field(factory=SingleEntry)
    random: Random = field(factory=Random)

    def record_answer(
        self, view: RunnerView, rate: float | None, asked_at: float, now: float
    ) -> None:
        """Record the rate that an answer names, or that it names none."""
        limit = view.limit
        if rate is None:
            if limit and limit.ends_by_answer(asked_at):
                view.limit = None
                events.LIMIT_ENDED.log(
                    _LOGGER, runner=view.runner.runner_id, rate=limit.rate
                )
        elif limit:
            limit.name(rate, now)
        else:
            view.limit = RunnerLimit(rate, now, now, self.random.random())
            events.LIMITED.log(
                _LOGGER,
                runner=view.runner.runner_id,
                rate=rate,
                spacing=round(self.spacing(view), 2),
                entries=len(self.entries.names()) + 1,
            )

    def spacing(self, view: RunnerView) -> float:
        """Return the seconds between this entry's requests to a runner."""
        if view.limit is None:
            return 0
        return spacing_seconds(
            self.entries.own_vm,
            self.entries.names(),
            view.runner.runner_id,
            view.limit.rate,
        )

    def ready_at(self, view: RunnerView) -> float:
        """Return when this entry may send to a runner; zero without limit."""
        if view.limit is None:
            return 0
        return view.limit.ready_at(self.spacing(view))

    def wait_seconds(self, views: Iterable[RunnerView], now: float) -> float:
        """Return after how long the first of the runners may be sent to."""
        return max(0, min(map(self.ready_at, views), default=now) - now)

    def log_fields(self, view: RunnerView, now: float) -> dict[str, object]:
        """Return the limit and this entry's share of it; none without one."""
        if view.limit is None:
            return {}
        return {
            'limit': view.limit.rate,
            'limit_age': round(now - view.limit.named_at, 2),
            'limit_spacing': round(self.spacing(view), 2),
            'limit_entries': len(self.entries.names()) + 1,
        }
