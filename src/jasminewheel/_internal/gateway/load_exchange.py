"""Tell a replica the loads of runners, and learn what others told it."""

import logging

import trio
from attrs import define, field, frozen

from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.gateway.load_board import (
    MAX_REPORT_AGE_SECONDS,
    LoadBoard,
    ReportedCalls,
)
from jasminewheel._internal.gateway.reading_time import ReadingTimes
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.peer.distance import Distance
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError

EXCHANGE_SECONDS = 0.4
REPLY_SECONDS = 0.3
# Loads are exchanged for this time after a call that they helped to place.
ACTIVE_SECONDS = 3.0
_LOGGER = logging.getLogger(__name__)


def _to_wire(report: ReportedCalls, now: float) -> wire.RunnerCalls:
    return wire.RunnerCalls(
        runner=report.runner,
        calls=report.calls,
        age_seconds=now - report.reported_at,
    )


def _from_wire(told: wire.RunnerCalls, now: float) -> ReportedCalls:
    age = max(0, told.age_seconds or 0)
    return ReportedCalls(told.runner or '', told.calls or 0, now - age)


@frozen
class LoadBoardService:
    """Keep the loads that entries tell this replica."""

    board: LoadBoard = field(factory=LoadBoard)

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers by message type."""
        return {wire.TellRunnerCalls: self.tell}

    async def tell(
        self, exchange: Exchange, request: wire.TellRunnerCalls
    ) -> wire.KnownRunnerCalls:
        """Keep what an entry tells, and return all that is known."""
        now = trio.current_time()
        self.board.record(_from_wire(one, now) for one in request.known or ())
        known = [_to_wire(one, now) for one in self.board.recent(now)]
        return wire.KnownRunnerCalls(known=known)


@define(eq=False)
class LoadExchange:
    """Exchange loads with the nearest replica while they are needed."""

    pool: PeerPool
    sets: SetHolder
    distance: Distance
    directory: RunnerDirectory
    times: ReadingTimes
    # Reports up to this time were told.
    told_until: float = 0

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        while True:
            await trio.sleep(EXCHANGE_SECONDS)
            if self.times.is_active(trio.current_time(), ACTIVE_SECONDS):
                await self.exchange()

    async def exchange(self) -> None:
        """Tell what is new here, and apply what is newer there."""
        members = self.sets.current.members
        if not members:
            return
        nearest = min(members, key=lambda one: self.distance(one.zone))
        now = trio.current_time()
        known = [_to_wire(one, now) for one in self.news()]
        self.told_until = now
        try:
            reply = await self.pool.ask(
                nearest.address,
                wire.TellRunnerCalls(known=known),
                wire.KnownRunnerCalls,
                timeout_seconds=REPLY_SECONDS,
            )
        except JasminewheelError as error:
            _LOGGER.debug('loads were not exchanged: %s', error)
            return
        self.apply(reply, now)

    def news(self) -> list[ReportedCalls]:
        """Return the loads that runners reported to this entry."""
        return [
            ReportedCalls(
                runner_id, view.load.reported_calls, view.load.reported_at
            )
            for runner_id, view in self.directory.views.items()
            if view.load.reported_at >= self.told_until
        ]

    def apply(self, reply: wire.KnownRunnerCalls, now: float) -> None:
        """Apply the loads that are newer than those known here."""
        for told in reply.known or ():
            report = _from_wire(told, now)
            view = self.directory.views.get(report.runner)
            if view is None or report.reported_at <= view.load.reported_at:
                continue
            if now - report.reported_at < MAX_REPORT_AGE_SECONDS:
                load = LoadReport(report.calls, 0)
                view.load.reported(load, report.reported_at)
                target = self.times.of_target(view.runner.target)
                target.record_load(report.calls)
