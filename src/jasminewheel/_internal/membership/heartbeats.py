"""Exchange heartbeats with a constant number of peers."""

import logging
from collections.abc import Callable
from random import Random
from typing import Protocol

import trio
from attrs import define, field

from jasminewheel._internal.events import membership as events
from jasminewheel._internal.events.event import Event
from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.membership.gossip import Gossip, Versions
from jasminewheel._internal.membership.member import (
    Member,
    MemberState,
    read_member,
)
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.wire.gen.membership.ttypes import Heartbeat
from jasminewheel.errors import JasminewheelError

PERIOD_SECONDS = 1.0
MIN_PERIOD_SECONDS = 0.2
JITTER = 0.1
REPLY_TIMEOUT_SECONDS = 1.0
MISSES_BEFORE_SUSPICION = 2
PAUSE_THRESHOLD_SECONDS = 3.0
DEAD_PROBE_SECONDS = 10.0
_LOGGER = logging.getLogger(__name__)


class VersionSource(Protocol):
    """Provide the local versions and record those of peers."""

    def versions(self) -> Versions:
        """Return the versions in force on this member."""

    def record_peer_versions(self, address: str, versions: Versions) -> None:
        """Record the versions that a peer reported."""


@define
class Heartbeats:
    """Exchange heartbeats with the successors and detect failed members."""

    membership: Membership
    gossip: Gossip
    peer_client: PeerClient
    source: VersionSource
    clock: Callable[[], float] = trio.current_time
    random: Random = field(factory=Random)
    missed: dict[str, int] = field(factory=dict)
    wake: trio.Event = field(factory=trio.Event)
    last_sent_at: float = 0
    last_dead_probe_at: float = 0

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self.last_sent_at = self.clock()
        while True:
            await self.send_heartbeats()
            with trio.move_on_after(self.period()):
                await self.wake.wait()
            self.wake = trio.Event()
            await trio.sleep(MIN_PERIOD_SECONDS)

    def period(self) -> float:
        """Return the wait with jitter, so that members are not synchronised."""
        pause = PERIOD_SECONDS - MIN_PERIOD_SECONDS
        return pause * self.random.uniform(1 - JITTER, 1 + JITTER)

    def send_soon(self) -> None:
        """Send the next heartbeats before the end of the period."""
        self.wake.set()

    async def send_heartbeats(self) -> None:
        """Exchange heartbeats once with each peer; expire suspicions."""
        now = self.clock()
        if now - self.last_sent_at > PAUSE_THRESHOLD_SECONDS:
            events.PAUSED.log(
                _LOGGER, seconds=round(now - self.last_sent_at, 1)
            )
            self.gossip.table.restart_suspicion_timers(now)
        self.last_sent_at = now
        async with trio.open_nursery() as nursery:
            for peer in self.peers(now):
                nursery.start_soon(self.exchange, peer)
        for member in self.gossip.table.expire(self.clock()):
            events.DIED.log(_LOGGER, member=member.member)
        self.gossip.prune_progress()

    def peers(self, now: float) -> list[Member]:
        """Return the successors and periodically one dead member.

        A dead member may only have been cut off by a partition.
        """
        chosen = self.membership.successors()
        dead = [one for one in self.gossip.table.dead() if not one.left]
        if dead and now - self.last_dead_probe_at >= DEAD_PROBE_SECONDS:
            self.last_dead_probe_at = now
            chosen.append(self.random.choice(dead))
        return chosen

    async def exchange(self, peer: Member) -> None:
        """Exchange heartbeats with one peer; record a missing reply."""
        try:
            await self.exchange_with(peer.member, peer.peer_address)
        except JasminewheelError:
            self.record_miss(peer)
        else:
            self.missed.pop(peer.member, None)

    async def exchange_with(self, member: str, address: str) -> Member:
        """Exchange heartbeats with an address; return the replying member."""
        heartbeat = self.gossip.build_heartbeat(member, self.source.versions())
        reply = await self.peer_client.ask(
            address,
            heartbeat,
            Heartbeat,
            timeout_seconds=REPLY_TIMEOUT_SECONDS,
        )
        return self.apply_heartbeat(reply)

    async def on_heartbeat(
        self,
        exchange: Exchange,
        heartbeat: Heartbeat,
    ) -> Heartbeat:
        """Apply the heartbeat of a peer and return the local one."""
        sender = self.apply_heartbeat(heartbeat)
        return self.gossip.build_heartbeat(
            sender.member, self.source.versions()
        )

    def apply_heartbeat(self, heartbeat: Heartbeat) -> Member:
        """Merge a heartbeat, log its changes and forward them soon."""
        changed = self.gossip.apply_heartbeat(heartbeat, self.clock())
        if self.gossip.table.superseded:
            events.SUPERSEDED.log(_LOGGER, member=heartbeat.sender.member)
        for member in changed:
            self.log_change(member)
        if changed:
            self.send_soon()
        self.source.record_peer_versions(
            heartbeat.sender.peer_address,
            Versions(
                heartbeat.configuration_version,
                heartbeat.placement_epoch,
            ),
        )
        return read_member(heartbeat.sender)

    def record_miss(self, peer: Member) -> None:
        """Count a missing reply; suspect the peer after several in a row."""
        count = self.missed.get(peer.member, 0) + 1
        self.missed[peer.member] = count
        if count < MISSES_BEFORE_SUSPICION:
            return
        if self.gossip.table.suspect(peer.member, self.clock()):
            events.SUSPECTED.log(_LOGGER, member=peer.member)
            self.send_soon()

    def log_change(self, member: Member) -> None:
        """Log a change that a peer reported."""
        event = events.REFUTED
        if member.member != self.membership.local_member.member:
            event = _event_of(member)
        event.log(
            _LOGGER,
            member=member.member,
            incarnation=member.incarnation,
            leaving=member.leaving,
            accuser=member.accuser,
        )


def _event_of(member: Member) -> Event:
    match member.state:
        case MemberState.suspect:
            return events.SUSPECTED
        case MemberState.dead:
            return events.LEFT if member.left else events.DIED
    return events.LEAVING if member.leaving else events.JOINED
