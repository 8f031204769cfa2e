"""Send metrics of the fleet as this member sees it."""

from collections import Counter
from collections.abc import Mapping

import trio
from attrs import define

from jasminewheel._internal.fleet.fleet import Fleet
from jasminewheel._internal.membership.member import MemberState
from jasminewheel._internal.observability.event_metrics import count_events
from jasminewheel._internal.observability.metrics import Metrics, open_metrics
from jasminewheel._internal.peer.traffic import TRAFFIC

PERIOD_SECONDS = 10.0


@define
class FleetGauges:
    """Send gauges of members, versions and traffic periodically."""

    fleet: Fleet
    metrics: Metrics

    async def run(self) -> None:
        """Send gauges until cancelled."""
        while True:
            gauges = self.read()
            for name in gauges:
                self.metrics.gauge(name, gauges[name])
            await trio.sleep(PERIOD_SECONDS)

    def read(self) -> Mapping[str, float]:
        """Return the gauges by name."""
        live = self.fleet.membership.live()
        states = Counter(member.state for member in live)
        return {
            'members.live': len(live),
            'members.suspect': states[MemberState.suspect],
            'members.leaving': sum(member.leaving for member in live),
            'configuration.version': self.fleet.view.current.version,
            'placement.epoch': self.fleet.placements.epoch,
            'peers.bytes_sent': TRAFFIC.bytes_sent,
            'peers.bytes_received': TRAFFIC.bytes_received,
        }


async def run_metrics(fleet: Fleet, statsd: str) -> None:
    """Send metrics to statsd at `ip:port` until cancelled, if given."""
    if not statsd:
        return
    member = fleet.membership.local_member.member
    metrics = open_metrics(statsd, f'jasminewheel.{member}')
    count_events(metrics)
    await FleetGauges(fleet, metrics).run()
