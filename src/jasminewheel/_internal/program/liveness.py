"""Break off what waits for a member that is not live any more."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Protocol

import trio

from jasminewheel._internal.membership.member import Member
from jasminewheel.errors import PeerError

CHECK_SECONDS = 0.2


class MemberList(Protocol):
    """Tell which members are not known to be dead."""

    def live(self, role: str = '') -> Sequence[Member]:
        """Return the live members of a role, or of any."""


class LivenessWatch:
    """Check all members waited for in one task, however many wait."""

    def __init__(self, members: MemberList) -> None:
        """Start with nobody waiting."""
        self.members = members
        self.scopes: dict[str, set[trio.CancelScope]] = defaultdict(set)

    async def run(self) -> None:
        """Cancel what waits for dead members until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            self.check()

    def check(self) -> None:
        """Cancel what waits for members that are dead now."""
        live = {member.member for member in self.members.live()}
        for name in self.scopes.keys() - live:
            for scope in self.scopes[name]:
                scope.cancel()

    @contextmanager
    def guard(self, member: str) -> Iterator[None]:
        """Raise PeerError once the member is dead."""
        scope = trio.CancelScope()
        self.scopes[member].add(scope)
        try:
            with scope:
                yield
        finally:
            self.discard(member, scope)
        if scope.cancelled_caught:
            raise PeerError(f'{member} is not live any more', sent=True)

    def discard(self, member: str, scope: trio.CancelScope) -> None:
        """Forget one that waits no more."""
        self.scopes[member].discard(scope)
        if not self.scopes[member]:
            self.scopes.pop(member)
