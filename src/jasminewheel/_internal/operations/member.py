"""Serve operators' requests to this member."""

import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from attrs import define, field

from jasminewheel._internal.fleet.fleet import Fleet
from jasminewheel._internal.observability.event_ring import (
    EventRing,
    RecordedEvent,
)
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.wire.gen.operations.ttypes import (
    DrainAnswer,
    DrainRequest,
    EventRecord,
    EventsDocument,
    EventsRequest,
    MemberStatus,
    StatusRequest,
)
from jasminewheel.errors import UnavailableError

MAX_EVENTS = 500


class StatusSource(Protocol):
    """Provide the status of one part of this process to operators."""

    def status(self) -> Mapping[str, Any]:
        """Return a status that can be encoded as JSON."""


class DecisionSource(Protocol):
    """Provide recent decisions about a subject, with their reasons."""

    def decisions(self, subject: str) -> list[RecordedEvent]:
        """Return decisions about a request, a program or a target."""


@define
class MemberOperations:
    """Provide this member's status and events, and drain it on request."""

    fleet: Fleet
    ring: EventRing
    started_at: float
    sources: dict[str, StatusSource] = field(factory=dict)
    decision_sources: list[DecisionSource] = field(factory=list)
    drain: Callable[[], None] | None = None

    @property
    def name(self) -> str:
        """Return the name of this member."""
        return self.fleet.membership.local_member.member

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers of peers' requests on behalf of operators."""
        return {
            StatusRequest: self.on_status,
            EventsRequest: self.on_events,
            DrainRequest: self.on_drain,
        }

    def status(self) -> MemberStatus:
        """Return the status of this member."""
        own = self.fleet.membership.local_member
        return MemberStatus(
            member=own.member,
            zone=own.zone,
            region=own.region,
            roles=list(own.roles),
            leaving=own.leaving,
            configuration_version=self.fleet.view.current.version,
            placement_epoch=self.fleet.placements.epoch,
            started_at=self.started_at,
            sections={
                name: json.dumps(source.status())
                for name, source in self.sources.items()
            },
        )

    def events(self, after: int, subject: str) -> list[EventRecord]:
        """Return the last events after a position, of the subject if given."""
        found = list(self.ring.after(after, subject))
        if subject:
            for source in self.decision_sources:
                found.extend(source.decisions(subject))
        found.sort(key=lambda event: event.at)
        return [to_record(event, self.name) for event in found[-MAX_EVENTS:]]

    async def on_status(
        self,
        exchange: Exchange,
        request: StatusRequest,
    ) -> MemberStatus:
        """Return the status of this member to a peer."""
        return self.status()

    async def on_events(
        self,
        exchange: Exchange,
        request: EventsRequest,
    ) -> EventsDocument:
        """Return events of this member to a peer."""
        found = self.events(request.after, request.subject or '')
        return EventsDocument(events=found)

    async def on_drain(
        self,
        exchange: Exchange,
        request: DrainRequest,
    ) -> DrainAnswer:
        """Begin the graceful stop of this member."""
        if self.drain is None:
            raise UnavailableError(
                'this member cannot be drained by a request',
                remedy='send SIGTERM to its process',
            )
        self.drain()
        return DrainAnswer(member=self.name)


def to_record(event: RecordedEvent, member: str) -> EventRecord:
    """Return the event in the form sent to peers."""
    return EventRecord(
        position=event.position,
        at=event.at,
        number=event.number,
        level=event.level,
        text=event.text,
        fields=dict(event.fields),
        member=member,
    )
