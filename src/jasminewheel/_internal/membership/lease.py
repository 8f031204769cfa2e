"""Keep the lease of this VM in the key-value service."""

import json
import logging
from random import Random

import trio
from attrs import asdict, define, field

from jasminewheel._internal.events import membership as events
from jasminewheel._internal.membership.member import Member, MemberState
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.store.client import Store
from jasminewheel._internal.store.key_writer import KeyWriter
from jasminewheel.errors import ConfigurationError, StoreError

MEMBER_PREFIX = 'members/'
TTL_SECONDS = 30.0
RENEW_SECONDS = 10.0
START_JITTER_SECONDS = 2.0
JITTER = 0.2
_LOGGER = logging.getLogger(__name__)


def member_text(member: Member) -> str:
    """Return the member as stored in the key-value service."""
    body = asdict(member)
    body['state'] = member.state.name
    return json.dumps(body, sort_keys=True)


def parse_member(text: str) -> Member:
    """Return the stored member; raise ConfigurationError if invalid."""
    try:
        body = json.loads(text)
        body['state'] = MemberState[body['state']]
        body['roles'] = tuple(body['roles'])
        return Member(**body)
    except Exception as error:
        raise ConfigurationError(f'invalid member record: {error!r}') from error


@define
class VmLease:
    """Keep `members/<member>` in the store while this process runs.

    Starting members find others by it, and operators see the members that
    should be running; it grants no permissions.
    """

    store: Store
    membership: Membership
    random: Random = field(factory=Random)
    lease: str = ''
    writer: KeyWriter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the writer of the member's key."""
        member = self.membership.local_member.member
        self.writer = KeyWriter(self.store, f'{MEMBER_PREFIX}{member}')

    @property
    def is_held(self) -> bool:
        """Return whether the last renewal succeeded."""
        return bool(self.lease)

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled, with jitter."""
        await trio.sleep(self.random.uniform(0, START_JITTER_SECONDS))
        while True:
            try:
                await self.renew()
            except StoreError as error:
                events.LEASE_FAILED.log(_LOGGER, problem=error)
            await trio.sleep(
                RENEW_SECONDS * self.random.uniform(1 - JITTER, 1 + JITTER),
            )

    async def renew(self) -> None:
        """Renew the lease, or acquire a new one if there is none."""
        if self.lease:
            await self.extend()
            return
        own = self.membership.local_member
        lease = await self.store.grant_lease(TTL_SECONDS)
        await self.writer.replace(member_text(own), lease)
        self.lease = lease
        events.LEASED.log(_LOGGER, member=own.member)

    async def extend(self) -> None:
        """Renew the lease; drop it on failure, so renew acquires another."""
        lease = self.lease
        self.lease = ''
        await self.store.renew_lease(lease)
        self.lease = lease

    async def revoke(self) -> None:
        """Revoke the lease, so that the member's key is deleted at once."""
        if not self.lease:
            return
        try:
            await self.store.revoke_lease(self.lease)
        except StoreError as error:
            events.LEASE_FAILED.log(_LOGGER, problem=error)
