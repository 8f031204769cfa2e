"""Query all members on behalf of an operator."""

from functools import partial

from attrs import define

from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.operations.member import MemberOperations
from jasminewheel._internal.parallel import map_parallel
from jasminewheel._internal.wire.gen.operations.ttypes import (
    DrainAnswer,
    DrainRequest,
    EventRecord,
    EventsDocument,
    EventsRequest,
    MemberStatus,
    StatusRequest,
)
from jasminewheel.errors import MissingResourceError, PeerError

REPLY_TIMEOUT_SECONDS = 3.0
PARALLEL = 32
MAX_SLOT_EVENTS = 20


@define
class FleetQueries:
    """Collect replies from all live members."""

    local_member: MemberOperations
    peer_client: PeerClient

    async def status(self) -> list[MemberStatus]:
        """Return the status of each live member, sorted by name."""
        found = await map_parallel(self.status_of, self.members(), PARALLEL)
        return sorted(found, key=lambda one: one.member)

    async def status_of(self, member: Member) -> MemberStatus:
        """Return a member's status, with version 0 if it is unresponsive."""
        if member.member == self.local_member.name:
            return self.local_member.status()
        try:
            return await self.peer_client.ask(
                member.peer_address,
                StatusRequest(),
                MemberStatus,
                timeout_seconds=REPLY_TIMEOUT_SECONDS,
            )
        except PeerError:
            return unresponsive_status(member)

    async def explain(self, subject: str) -> list[EventRecord]:
        """Return events about a subject and about the slots of its programs."""
        found = await self.events(subject)
        programs = {record.fields.get('program', subject) for record in found}
        slots = {self.slot_of(program) for program in programs}
        for slot_events in await map_parallel(self.events, slots, PARALLEL):
            found.extend(slot_events[-MAX_SLOT_EVENTS:])
        unique = {(one.member, one.position, one.at): one for one in found}
        return sorted(unique.values(), key=lambda record: record.at)

    def slot_of(self, program: str) -> str:
        """Return the subject that selects events of a program's slot."""
        placement = self.local_member.fleet.placements.placement
        slot = placement.slot_of(program) if placement else None
        return f'slot={slot}'

    async def events(self, subject: str) -> list[EventRecord]:
        """Return the events of all members about a subject, sorted by time."""
        ask = partial(self.events_of, subject)
        found = await map_parallel(ask, self.members(), PARALLEL)
        records = [record for each in found for record in each]
        return sorted(records, key=lambda record: record.at)

    async def events_of(
        self,
        subject: str,
        member: Member,
    ) -> list[EventRecord]:
        """Return events of one member, none if it is unresponsive."""
        if member.member == self.local_member.name:
            return self.local_member.events(0, subject)
        try:
            answer = await self.peer_client.ask(
                member.peer_address,
                EventsRequest(after=0, subject=subject),
                EventsDocument,
                timeout_seconds=REPLY_TIMEOUT_SECONDS,
            )
        except PeerError:
            return []
        return answer.events

    async def drain(self, name: str) -> DrainAnswer:
        """Begin the graceful stop of a member; raise if it is not live."""
        named = [one for one in self.members() if one.member == name]
        if not named:
            raise MissingResourceError(f'no live member is named {name}')
        return await self.peer_client.ask(
            named[0].peer_address,
            DrainRequest(),
            DrainAnswer,
            timeout_seconds=REPLY_TIMEOUT_SECONDS,
        )

    def members(self) -> list[Member]:
        """Return the live members."""
        return self.local_member.fleet.membership.live()


def unresponsive_status(member: Member) -> MemberStatus:
    """Return the status that stands for an unresponsive member."""
    return MemberStatus(
        member=member.member,
        zone=member.zone,
        region=member.region,
        roles=list(member.roles),
        leaving=member.leaving,
        configuration_version=0,
        placement_epoch=0,
        started_at=0,
        sections={'problem': '"does not answer"'},
    )
