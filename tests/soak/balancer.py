"""Send clients to ready entries, as the platform's balancer does."""

from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.web.client import OutgoingRequest
from jasminewheel.errors import ConnectionLostError
from tests.platform_fleet import ask_once
from tests.soak.role_process import RoleProcess

ASK_SECONDS = 1.0
MISSES = 2
READY = OutgoingRequest(b'GET', b'/ready', [(b'Host', b'h')])
OK = 200


@define(eq=False)
class Balancer:
    """Ask each entry once a second; two misses take it out."""

    entries: list[RoleProcess]
    misses: dict[str, int] = field(factory=dict)

    async def run(self, entry: RoleProcess) -> None:
        """Ask one entry until cancelled."""
        while True:
            ready = await is_ready(entry)
            misses = self.misses.get(entry.name, 0) + 1
            self.misses[entry.name] = 0 if ready else misses
            await trio.sleep(ASK_SECONDS)

    def pick(self, random: Random) -> RoleProcess:
        """Return an entry for a new connection."""
        taken = [
            entry
            for entry in self.entries
            if self.misses.get(entry.name, 0) < MISSES
        ]
        if len(taken) * 2 < len(self.entries):
            taken = self.entries
        return random.choice(taken)


async def is_ready(entry: RoleProcess) -> bool:
    """Tell whether an entry says that it is ready."""
    with trio.move_on_after(ASK_SECONDS):
        try:
            asked = await ask_once(entry.place.ready, READY)
        except ConnectionLostError:
            return False
        return asked.status == OK
    return False
