"""Client workload: chains of turns with tool calls, and single calls."""

from collections import deque
from itertools import count

import trio
from attrs import define, field, frozen

from tests.platform_fleet import ReceivedAnswer
from tests.soak.client import Client
from tests.soak.ledger import OK, SAFE_ROUTES, TOKENS_PER_EVENT, Attempt
from tests.soak.runner import MAX_EVENTS

MAX_TURNS = 4
MAX_TOKENS = MAX_EVENTS * TOKENS_PER_EVENT
BUDGETS = (24, 40, 1000)
PAUSE_SECONDS = 0.25


@frozen
class StoredTurn:
    """Represent a completely answered turn, and the history up to it."""

    turn_id: str
    history: bytes
    stored_at: float
    program_id: str
    budget: int


@define(eq=False)
class TurnChain:
    """Run turns in sequence; some continue from an older turn."""

    client: Client
    program_id: str
    budget: int
    stored_turns: list[StoredTurn] = field(factory=list)

    async def run(self) -> list[StoredTurn]:
        """Run all turns; return those that were answered."""
        turns = 1 + self.client.random.randrange(MAX_TURNS)
        number = 0
        while number < turns and await self.step(number):
            number += 1
            await trio.sleep(self.client.random.random() * PAUSE_SECONDS)
        return self.stored_turns

    async def step(self, number: int) -> bool:
        """Run a turn and a tool call; return whether the turn was answered."""
        name = f'{self.program_id}.{number}'
        answer = await self.run_turn(f'{name}.'.encode())
        if answer.status != OK:
            return False
        route = self.client.random.choice(('look', 'book'))
        await call_route(self.client, route, name)
        return True

    async def run_turn(self, new_prompt: bytes) -> ReceivedAnswer:
        """Send one turn, with two retries if its answer is truncated."""
        previous = self.pick_previous()
        answer = await self.send_turn(previous, new_prompt)
        repeats = 2
        while not answer.whole and repeats:
            repeats -= 1
            answer = await self.send_turn(previous, new_prompt)
        return answer

    def pick_previous(self) -> StoredTurn | None:
        """Return the newest turn, or any earlier one as a sub-agent does."""
        if not self.stored_turns:
            return None
        newest = self.client.random.random() < 2 / 3
        return (
            self.stored_turns[-1]
            if newest
            else self.client.random.choice(self.stored_turns)
        )

    async def send_turn(
        self, previous: StoredTurn | None, new_prompt: bytes
    ) -> ReceivedAnswer:
        """Send a turn that continues a previous one or starts a chain."""
        history = (
            new_prompt if previous is None else previous.history + new_prompt
        )
        answer = await post_turn(self, previous, new_prompt)
        if answer.whole and answer.status == OK:
            self.stored_turns.append(
                StoredTurn(
                    answer.headers['request-id'],
                    history + output_of(answer.body),
                    trio.current_time(),
                    self.program_id,
                    self.budget,
                )
            )
        return answer


async def post_turn(
    chain: TurnChain, previous: StoredTurn | None, new_prompt: bytes
) -> ReceivedAnswer:
    """Send one turn of a chain as a request."""
    headers = {
        'Program-Id': chain.program_id,
        'Session-Id': chain.program_id,
        'Token-Budget': str(chain.budget),
        'Token-Usage': f'10,{MAX_TOKENS}',
        'body': new_prompt,
    }
    if previous:
        headers['Previous-Turn'] = previous.turn_id
    attempt = Attempt(
        '',
        'turns',
        '',
        0,
        prompt=new_prompt
        if previous is None
        else previous.history + new_prompt,
        program_id=chain.program_id,
        budget=chain.budget,
        max_tokens=MAX_TOKENS,
        previous_stored_at=previous.stored_at if previous else 0,
    )
    return await chain.client.call('/turns/a', attempt, headers)


def output_of(stream: bytes) -> bytes:
    """Return the data of all events, each followed by a line feed."""
    lines = [
        line.removeprefix(b'data: ')
        for line in stream.split(b'\n')
        if line.startswith(b'data: ')
    ]
    return b''.join(b'%b\n' % line for line in lines)


async def call_route(
    client: Client, route: str, name: str, prefix: str = ''
) -> ReceivedAnswer:
    """Send a single request; the prefix defaults to the route's name."""
    body = b'' if route in SAFE_ROUTES else name.encode()
    attempt = Attempt('', route, '', 0, prompt=body)
    first_segment = prefix or route
    path = f'/{first_segment}/{name}'
    return await client.call(path, attempt, {'body': body})


@define(eq=False)
class Workload:
    """Run programs in sequence until cancelled."""

    # The first client runs the main chain alone. Then every client continues it
    # with a chain of its own, as sub-agents do.
    clients: list[Client]
    stored_turns: deque[StoredTurn]
    numbers: count = field(factory=count)

    async def run(self) -> None:
        """Run programs with random budgets and pauses."""
        random = self.clients[0].random
        while True:
            await self.run_program(random.choice(BUDGETS))
            await trio.sleep(random.random() * PAUSE_SECONDS)

    async def run_program(self, budget: int) -> None:
        """Run one program: its main chain, then the chains that continue it."""
        number = next(self.numbers)
        client = self.clients[0]
        name = f'{client.name}p{number}'
        main_chain = TurnChain(client, name, budget)
        first_turns = await main_chain.run()
        self.stored_turns.extend(first_turns)
        async with trio.open_nursery() as nursery:
            for chain_client in self.clients:
                chain = TurnChain(chain_client, name, budget, list(first_turns))
                nursery.start_soon(self.run_chain, chain)

    async def run_chain(self, chain: TurnChain) -> None:
        """Run one chain, and store the turns that it adds."""
        previous_count = len(chain.stored_turns)
        stored_turns = await chain.run()
        self.stored_turns.extend(stored_turns[previous_count:])
