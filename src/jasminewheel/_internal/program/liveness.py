"""Cancel requests to members that are no longer live."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Protocol

import trio

from jasminewheel._internal.membership.member import Member
from jasminewheel.errors import PeerError

CHECK_INTERVAL_SECONDS = 0.2


class MemberList(Protocol):
    """List the members that are not declared dead."""

    def live(self, role: str = '') -> Sequence[Member]:
        """Return the live members of a role, or of any."""


class LivenessWatch:
    """Check the members of all waiting requests in one task."""

    def __init__(self, members: MemberList) -> None:
        """Start without waiting requests."""
        self.members = members
        self.scopes: dict[str, set[trio.CancelScope]] = defaultdict(set)

    async def run(self) -> None:
        """Check for dead members periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Cancel the requests to members that are no longer live."""
        live = {member.member for member in self.members.live()}
        for name in self.scopes.keys() - live:
            for scope in self.scopes[name]:
                scope.cancel()

    @contextmanager
    def guard(self, member: str) -> Iterator[None]:
        """Raise PeerError if the member is declared dead within the scope."""
        scope = trio.CancelScope()
        self.scopes[member].add(scope)
        try:
            with scope:
                yield
        finally:
            self.discard(member, scope)
        if scope.cancelled_caught:
            raise PeerError(f'{member} is no longer live', sent=True)

    def discard(self, member: str, scope: trio.CancelScope) -> None:
        """Remove the scope of a request that has ended."""
        self.scopes[member].discard(scope)
        if not self.scopes[member]:
            self.scopes.pop(member)
