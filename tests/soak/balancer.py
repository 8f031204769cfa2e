"""Distribute clients over ready entries, as the platform's balancer does."""

from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.web.client import OutgoingRequest
from jasminewheel.errors import ConnectionLostError
from tests.platform_fleet import ask_once
from tests.soak.role_process import RoleProcess

PROBE_SECONDS = 1.0
# This many failed probes in a row take an entry out of rotation.
FAILURE_THRESHOLD = 2
READINESS_REQUEST = OutgoingRequest(b'GET', b'/ready', [(b'Host', b'h')])
OK = 200


@define(eq=False)
class Balancer:
    """Probe entries, and choose a healthy one for each connection."""

    entries: list[RoleProcess]
    failed_probes: dict[str, int] = field(factory=dict)

    async def run(self, entry: RoleProcess) -> None:
        """Probe one entry until cancelled."""
        while True:
            ready = await is_ready(entry)
            failed_probes = self.failed_probes.get(entry.name, 0) + 1
            self.failed_probes[entry.name] = 0 if ready else failed_probes
            await trio.sleep(PROBE_SECONDS)

    def pick(self, random: Random) -> RoleProcess:
        """Return an entry; any one if fewer than half are healthy."""
        healthy = [
            entry
            for entry in self.entries
            if self.failed_probes.get(entry.name, 0) < FAILURE_THRESHOLD
        ]
        if len(healthy) * 2 < len(self.entries):
            healthy = self.entries
        return random.choice(healthy)


async def is_ready(entry: RoleProcess) -> bool:
    """Return whether an entry reports that it is ready."""
    with trio.move_on_after(PROBE_SECONDS):
        try:
            answer = await ask_once(entry.node.ready_address, READINESS_REQUEST)
        except ConnectionLostError:
            return False
        return answer.status == OK
    return False
