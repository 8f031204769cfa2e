"""Check what a disk that joins copies, and from whom."""

import trio
from attrs import evolve

from jasminewheel._internal.peer.traffic import TRAFFIC
from tests.turn_replicas import turn, turn_replicas

TURNS = 40
PROMPT = bytes(65536)


def _keep_everywhere(replicas) -> None:
    for number in range(TURNS):
        record = turn(f't{number}')
        record.prompt = PROMPT
        for holder in replicas.running:
            holder.state.add_turn(record, trio.current_time())


def test_newcomer_gets_each_record_over_the_network_once(tmp_path):
    """Members that hold the same records do not all send them."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            await replicas.start_all(3)
            old = replicas.set_of()
            _keep_everywhere(replicas)
            fresh = await replicas.start(3)
            change = evolve(
                old, revision=2, joining=(fresh.replica, *old.members[1:])
            )
            before = TRAFFIC.bytes_received
            await replicas.catch_up(fresh, change)
            came = TRAFFIC.bytes_received - before
            assert len(fresh.state.turns) == TURNS
            assert came < 1.5 * TURNS * len(PROMPT)

    trio.run(scenario)
