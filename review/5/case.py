"""A late write of the store undoes a newer one, and no disk can join any more.

A store machine loses its disk and registers its new one. TROUBLE: the answer
of the store to that registration is lost, and it takes effect some seconds
later, after the machine has registered again and has written that its new
disk holds all records. Then another disk is lost, long after the first one
has joined, and at the end all processes are killed and start again.
"""

import asyncio
import json
import sys
import time
from base64 import b64decode
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.fleet import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Fleet,
    run_case,
)

ZONES = {'teku': 'bagmati', 'balaju': 'bagmati', 'pokhara-lk': 'gandaki'}
FIRST_LOST, SECOND_LOST = 'store-teku-1', 'store-balaju-1'
RETENTION_SECONDS = 60.0
DOWN_SECONDS = 1.0
# A call without an answer may be executed 1 to 6 s later.
LEAST_LATE_SECONDS, MOST_LATE_SECONDS = 1.0, 6.0
# Between two lost disks; over CatchUpS and ContactMs after the lost answer.
PAUSE_SECONDS = 16.0
RECOVER_SECONDS = 12.0
LAST_SECONDS = 4.0
PROGRAMS = 6


class LateWrite:
    """Lose the answer of one registration, and execute it later."""

    def __init__(self, fleet: Fleet) -> None:
        """Watch the transactions of one machine."""
        self.fleet = fleet
        self.key = f'jasminewheel/disks/{FIRST_LOST}'
        self.armed = False
        self.lost: dict | None = None
        self.lost_at = 0.0
        self.executed = False

    def __call__(self, fields: dict) -> float | None:
        """Return that a txn's answer is lost, once."""
        if not self.armed or fields['Puts'][0]['Key'] != self.key:
            return None
        self.armed = False
        self.lost = fields
        self.lost_at = time.monotonic()
        self.fleet.log(f'store: the answer to a txn on {self.key} is lost')
        return 3600

    def execute_once_undone(self) -> None:
        """Execute it right after the newer value, 1 to 6 s late."""
        late = time.monotonic() - self.lost_at
        in_time = LEAST_LATE_SECONDS < late < MOST_LATE_SECONDS
        if not (self.lost and in_time and self.newer_is_written()):
            return
        fields, self.lost = self.lost, None
        status, _ = self.fleet.store.change(fields)
        self.executed = status == 200
        self.fleet.log(
            f'store: that txn is executed after {late:.1f} s, with {status}'
        )

    def newer_is_written(self) -> bool:
        """Return whether the machine has written a newer value."""
        old = json.loads(b64decode(self.lost['Puts'][0]['Value']))
        new = self.fleet.store.read(self.key)
        return bool(new) and (
            new['replica'] == old['replica']
            and new['copied_revision'] > old['copied_revision']
        )


class Case:
    """Play the events in order, and count what reaches the runners."""

    def __init__(self, fleet: Fleet) -> None:
        """Keep the last turn of each program."""
        self.fleet = fleet
        self.previous: dict[str, str] = {}
        self.late = LateWrite(fleet)
        fleet.store.late_seconds = self.late
        fleet.store.after_change = self.late.execute_once_undone

    async def turn(self, program: str) -> bool:
        """Send the program's next turn; return whether a runner ran it."""
        fronts = [one for one in self.fleet.nodes if one.role == 'entry']
        headers = {
            'Program_Id': program,
            'Session_Id': program,
            'Program_Deadline_Ms': '100000',
            'Token_Budget': '4000',
            'Token_Usage': '40,8',
        }
        if program in self.previous:
            headers['Previous_Turn'] = self.previous[program]
        call_id, answer = await self.fleet.send(
            fronts[self.fleet.sent % len(fronts)],
            '/turns/a',
            b'more.',
            **headers,
        )
        if answer.status == 200 and answer.whole:
            self.previous[program] = call_id
        return bool(self.fleet.runs_of(call_id))

    async def lose_disk(self, name: str) -> None:
        """Lose a machine's disk; it is back with an empty one."""
        node = next(one for one in self.fleet.nodes if one.name == name)
        node.kill()
        node.wipe()
        await asyncio.sleep(DOWN_SECONDS)
        node.start()

    async def play(self) -> int:
        """Play the case; return whether the rule held."""
        programs = [f'p{number}' for number in range(PROGRAMS)]
        for program in programs:
            if not await self.turn(program):
                raise CannotRunError('a first turn failed')
        self.late.armed = TROUBLE
        await self.lose_disk(FIRST_LOST)
        await asyncio.sleep(PAUSE_SECONDS)
        if TROUBLE and not self.late.executed:
            raise CannotRunError('no newer value came within 6 s')
        for program in programs:
            await self.turn(program)
        await self.lose_disk(SECOND_LOST)
        await asyncio.sleep(PAUSE_SECONDS)
        # The final fault follows an acknowledged configuration.
        self.fleet.configure(8, RETENTION_SECONDS)
        self.fleet.log('operator: version 8 is acknowledged')
        for node in self.fleet.nodes:
            node.kill()
        await asyncio.sleep(0.9)
        for node in self.fleet.nodes:
            node.start()
        return await self.recover(programs, time.monotonic())

    async def recover(self, programs: list[str], back: float) -> int:
        """Go on with all programs until RecoverS is over."""
        reached = tried = 0
        while time.monotonic() < back + RECOVER_SECONDS:
            last = time.monotonic() > back + RECOVER_SECONDS - LAST_SECONDS
            for program in programs:
                ran = await self.turn(program)
                tried += last
                reached += last and ran
            await asyncio.sleep(0.3)
        self.fleet.log(
            f'in the last {LAST_SECONDS} s before RecoverS {reached} of {tried}'
            ' turns that continue kept ones reached a runner; no runner was'
            ' busy'
        )
        if tried < 5:
            raise CannotRunError('too few turns were sent')
        return HELD if reached else BROKEN


async def play() -> int:
    """Start the fleet and play the case."""
    async with Fleet(Path(__file__).parent, ZONES) as fleet:
        for zone in ZONES:
            await fleet.add_runner(f'i-{zone}', 'model', zone)
        for zone in ZONES:
            fleet.add_node(f'store-{zone}-1', zone, 'history')
        for zone in ZONES:
            fleet.add_node(f'front-{zone}-1', zone, 'entry')
        fleet.configure(7, RETENTION_SECONDS)
        for node in fleet.nodes:
            node.start()
        await fleet.wait_ready()
        return await Case(fleet).play()


run_case(play)
