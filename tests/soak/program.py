"""Programs of turns, with tools between them, and plain callers."""

from collections import deque
from itertools import count

import trio
from attrs import define, field, frozen

from tests.platform_fleet import ReceivedAnswer
from tests.soak.client import Client
from tests.soak.ledger import OK, SAFE_ROUTES, TOKENS_PER_EVENT, Sent
from tests.soak.runner import MOST_EVENTS

MOST_TURNS = 4
MOST_TOKENS = MOST_EVENTS * TOKENS_PER_EVENT
BUDGETS = (24, 40, 1000)
PAUSE_SECONDS = 0.25


@frozen
class KeptTurn:
    """Hold a turn that was answered whole, with all that was said."""

    turn_id: str
    said: bytes
    kept_at: float
    program_id: str
    budget: int


@define(eq=False)
class Program:
    """Run turns one after the other; some continue from an older one."""

    client: Client
    program_id: str
    budget: int
    kept: list[KeptTurn] = field(factory=list)

    async def run(self) -> list[KeptTurn]:
        """Run to the end; return the turns that were answered."""
        turns = 1 + self.client.random.randrange(MOST_TURNS)
        number = 0
        while number < turns and await self.step(number):
            number += 1
            await trio.sleep(self.client.random.random() * PAUSE_SECONDS)
        return self.kept

    async def step(self, number: int) -> bool:
        """Run a turn and its tools; tell whether it was answered."""
        name = f'{self.program_id}.{number}'
        got = await self.turn(f'{name}.'.encode())
        if got.status != OK:
            return False
        route = self.client.random.choice(('look', 'book'))
        await call_plain(self.client, route, name)
        return True

    async def turn(self, added: bytes) -> ReceivedAnswer:
        """Send one turn, at most twice again if it broke off."""
        before = self.previous()
        got = await self.send_turn(before, added)
        repeats = 2
        while not got.whole and repeats:
            repeats -= 1
            got = await self.send_turn(before, added)
        return got

    def previous(self) -> KeptTurn | None:
        """Return the newest turn, or an older one as a sub-agent does."""
        if not self.kept:
            return None
        newest = self.client.random.random() < 2 / 3
        return self.kept[-1] if newest else self.client.random.choice(self.kept)

    async def send_turn(
        self, before: KeptTurn | None, added: bytes
    ) -> ReceivedAnswer:
        """Send a turn that continues from another one, or begins a chain."""
        said = added if before is None else before.said + added
        got = await continue_turn(self, before, added)
        if got.whole and got.status == OK:
            self.kept.append(
                KeptTurn(
                    got.headers['request-id'],
                    said + output_of(got.body),
                    trio.current_time(),
                    self.program_id,
                    self.budget,
                )
            )
        return got


async def continue_turn(
    program: Program, before: KeptTurn | None, added: bytes
) -> ReceivedAnswer:
    """Send one turn of a program."""
    headers = {
        'Program-Id': program.program_id,
        'Session-Id': program.program_id,
        'Token-Budget': str(program.budget),
        'Token-Usage': f'10,{MOST_TOKENS}',
        'body': added,
    }
    if before:
        headers['Previous-Turn'] = before.turn_id
    sent = Sent(
        '',
        'turns',
        '',
        0,
        prompt=added if before is None else before.said + added,
        program_id=program.program_id,
        budget=program.budget,
        most_tokens=MOST_TOKENS,
        previous_kept_at=before.kept_at if before else 0,
    )
    return await program.client.call('/turns/a', sent, headers)


def output_of(stream: bytes) -> bytes:
    """Return the data of all events, each with a line feed."""
    lines = [
        line.removeprefix(b'data: ')
        for line in stream.split(b'\n')
        if line.startswith(b'data: ')
    ]
    return b''.join(b'%b\n' % line for line in lines)


async def call_plain(
    client: Client, route: str, name: str, prefix: str = ''
) -> ReceivedAnswer:
    """Send a request; the prefix is the route's name if none is given."""
    body = b'' if route in SAFE_ROUTES else name.encode()
    sent = Sent('', route, '', 0, prompt=body)
    first = prefix or route
    path = f'/{first}/{name}'
    return await client.call(path, sent, {'body': body})


@define(eq=False)
class Workload:
    """Run programs one after the other, until cancelled."""

    # The first runs turns alone; the others run sub-agents beside it.
    clients: list[Client]
    remembered: deque[KeptTurn]
    numbers: count = field(factory=count)

    async def run(self) -> None:
        """Run programs."""
        random = self.clients[0].random
        while True:
            await self.run_program(random.choice(BUDGETS))
            await trio.sleep(random.random() * PAUSE_SECONDS)

    async def run_program(self, budget: int) -> None:
        """Run one program; its sub-agents continue from its first turns."""
        number = next(self.numbers)
        client = self.clients[0]
        name = f'{client.name}p{number}'
        first = Program(client, name, budget)
        begun = await first.run()
        self.remembered.extend(begun)
        async with trio.open_nursery() as nursery:
            for beside in self.clients:
                line = Program(beside, name, budget, list(begun))
                nursery.start_soon(self.run_line, line)

    async def run_line(self, line: Program) -> None:
        """Run one line of turns; remember those that it adds."""
        before = len(line.kept)
        kept = await line.run()
        self.remembered.extend(kept[before:])
