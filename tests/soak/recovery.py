"""Check that every request is served again after the faults have ended."""

from collections import deque

import trio
from attrs import define

from tests.soak.client import Client
from tests.soak.ledger import OK, RETENTION_SECONDS
from tests.soak.program import StoredTurn, TurnChain, call_route, post_turn
from tests.soak.role_process import RoleProcess
from tests.soak.watch import Watch, pinned_client
from tests.soak.world import World

# The documented bound on recovery.
RECOVERY_SECONDS = 15.0
PAUSE_SECONDS = 0.2
BUDGET = 1000
BUDGET_EXHAUSTED = 402
SAMPLE_SIZE = 40


@define(eq=False)
class Recovery:
    """Repeat each kind of request at every entry until all are served."""

    world: World
    watch: Watch
    stored_turns: deque[StoredTurn]

    async def run(self) -> None:
        """Check all entries, and turns that were stored before."""
        started_at = trio.current_time()
        deadline = started_at + RECOVERY_SECONDS
        async with trio.open_nursery() as nursery:
            for entry in self.world.entries():
                nursery.start_soon(self.check_entry, entry, deadline)
            for turn in self.sample_turns():
                nursery.start_soon(self.check_turn, turn, deadline)

    def sample_turns(self) -> list[StoredTurn]:
        """Return a sample of stored turns that outlast the check."""
        oldest = trio.current_time() - RETENTION_SECONDS + RECOVERY_SECONDS
        found = [turn for turn in self.stored_turns if turn.stored_at > oldest]
        random = self.world.random('continued')
        return random.sample(found, min(SAMPLE_SIZE, len(found)))

    async def check_entry(self, entry: RoleProcess, deadline: float) -> None:
        """Check one entry."""
        client = pinned_client(self.world, entry, 'after')
        name = client.name
        version = self.world.version
        steps = {
            'a safe call': lambda: self.is_route_served(client, 'look'),
            'an unsafe call': lambda: self.is_route_served(client, 'book'),
            'a chain': lambda: self.is_chain_served(client),
            'the newest version': lambda: self.watch.check_version(
                client, entry, version
            ),
        }
        async with trio.open_nursery() as nursery:
            for step, is_served in steps.items():
                description = f'{name}: {step}'
                nursery.start_soon(
                    self.wait_until_served, is_served, deadline, description
                )

    async def check_turn(self, turn: StoredTurn, deadline: float) -> None:
        """Check that a stored turn can be continued."""
        random = self.world.random(turn.turn_id)
        entry = random.choice(self.world.entries())
        client = pinned_client(self.world, entry, f'on-{turn.turn_id}')
        chain = TurnChain(client, turn.program_id, turn.budget)

        async def is_served() -> bool:
            answer = await post_turn(chain, turn, b'more.')
            return answer.whole and answer.status in {OK, BUDGET_EXHAUSTED}

        await self.wait_until_served(
            is_served, deadline, f'turn {turn.turn_id}'
        )

    async def is_route_served(self, client: Client, route: str) -> bool:
        """Return whether a call is served."""
        answer = await call_route(client, route, client.name)
        return answer.whole and answer.status == OK

    async def is_chain_served(self, client: Client) -> bool:
        """Return whether a turn and its successor are served."""
        name = f'{client.name}.{next(client.numbers)}'
        chain = TurnChain(client, name, BUDGET)
        first = await chain.run_turn(b'one.')
        second = await chain.run_turn(b'two.')
        return first.status == OK and second.status == OK

    async def wait_until_served(
        self, is_served, deadline: float, description: str
    ) -> None:
        """Repeat a check; record a violation if it fails until the deadline."""
        while trio.current_time() < deadline:
            with trio.move_on_at(deadline):
                if await is_served():
                    return
            await trio.sleep(PAUSE_SECONDS)
        self.world.ledger.record_violation(
            'recovery',
            '',
            f'{description} is not served after {RECOVERY_SECONDS} s',
        )
