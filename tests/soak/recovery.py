"""Check that all is served again once the faults have ended."""

from collections import deque

import trio
from attrs import define

from tests.soak.client import Client
from tests.soak.ledger import OK, RETENTION_SECONDS
from tests.soak.program import KeptTurn, Program, call_plain, continue_turn
from tests.soak.role_process import RoleProcess
from tests.soak.watch import Watch, pinned_client
from tests.soak.world import World

# The stated time to recover.
RECOVER_SECONDS = 15.0
PAUSE_SECONDS = 0.2
BUDGET = 1000
SPENT = 402
CONTINUED = 40


@define(eq=False)
class Recovery:
    """Ask every entry for everything until it serves, or time is up."""

    world: World
    watch: Watch
    kept: deque[KeptTurn]

    async def run(self) -> None:
        """Check all entries, and turns that were kept before."""
        began = trio.current_time()
        deadline = began + RECOVER_SECONDS
        async with trio.open_nursery() as nursery:
            for entry in self.world.entries():
                nursery.start_soon(self.check_entry, entry, deadline)
            for turn in self.chosen():
                nursery.start_soon(self.check_turn, turn, deadline)

    def chosen(self) -> list[KeptTurn]:
        """Return kept turns to continue, which are not too old for it."""
        oldest = trio.current_time() - RETENTION_SECONDS + RECOVER_SECONDS
        found = [turn for turn in self.kept if turn.kept_at > oldest]
        random = self.world.random('continued')
        return random.sample(found, min(CONTINUED, len(found)))

    async def check_entry(self, entry: RoleProcess, deadline: float) -> None:
        """Check one entry."""
        client = pinned_client(self.world, entry, 'after')
        name = client.name
        version = self.world.version
        steps = {
            'a safe call': lambda: self.plain(client, 'look'),
            'an unsafe call': lambda: self.plain(client, 'book'),
            'a chain': lambda: self.chain(client),
            'the newest version': lambda: self.watch.ask_version(
                client, entry, version
            ),
        }
        async with trio.open_nursery() as nursery:
            for step, ask in steps.items():
                what = f'{name}: {step}'
                nursery.start_soon(self.until, ask, deadline, what)

    async def check_turn(self, turn: KeptTurn, deadline: float) -> None:
        """Check that a kept turn can be continued."""
        random = self.world.random(turn.turn_id)
        entry = random.choice(self.world.entries())
        client = pinned_client(self.world, entry, f'on-{turn.turn_id}')
        program = Program(client, turn.program_id, turn.budget)

        async def ask() -> bool:
            got = await continue_turn(program, turn, b'more.')
            return got.whole and got.status in {OK, SPENT}

        await self.until(ask, deadline, f'turn {turn.turn_id}')

    async def plain(self, client: Client, route: str) -> bool:
        """Tell whether a call is served."""
        got = await call_plain(client, route, client.name)
        return got.whole and got.status == OK

    async def chain(self, client: Client) -> bool:
        """Tell whether a turn and the one after it are served."""
        name = f'{client.name}.{next(client.numbers)}'
        program = Program(client, name, BUDGET)
        first = await program.turn(b'one.')
        second = await program.turn(b'two.')
        return first.status == OK and second.status == OK

    async def until(self, ask, deadline: float, what: str) -> None:
        """Ask again until it is served; note it if that comes too late."""
        while trio.current_time() < deadline:
            with trio.move_on_at(deadline):
                if await ask():
                    return
            await trio.sleep(PAUSE_SECONDS)
        self.world.ledger.violate(
            'recovery', '', f'{what} is not served after {RECOVER_SECONDS} s'
        )
