"""Check which records a joining disk copies, and from which members."""

import trio
from attrs import evolve

from jasminewheel._internal.conversation import service
from jasminewheel._internal.conversation.catch_up import (
    CROSS_REGION_BYTES_PER_SECOND,
)
from jasminewheel._internal.peer.traffic import TRAFFIC
from tests.turn_replicas import reservation, turn, turn_replicas

TURNS = 40
COPY_LIMIT_SECONDS = 2.0
PROMPT = bytes(65536)


def _add_everywhere(replicas) -> None:
    for number in range(TURNS):
        record = turn(f't{number}')
        record.prompt = PROMPT
        for holder in replicas.running:
            holder.state.add_turn(record, trio.current_time())


def _in_place_of_first(old, fresh):
    joining = (fresh.replica, *old.members[1:])
    return evolve(old, revision=2, joining=joining)


def test_newcomer_gets_each_record_over_the_network_once(tmp_path):
    """Records stored on several members are transferred only once."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            await replicas.start_all(3)
            old = replicas.set_of()
            _add_everywhere(replicas)
            fresh = await replicas.start(3)
            change = _in_place_of_first(old, fresh)
            before = TRAFFIC.bytes_received
            await replicas.catch_up(fresh, change)
            received = TRAFFIC.bytes_received - before
            assert len(fresh.state.turns) == TURNS
            assert received < 1.5 * TURNS * len(PROMPT)

    trio.run(scenario)


def test_dead_members_do_not_hold_up_a_copy(tmp_path):
    """A copy with two of five members down finishes within its time limit."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            await replicas.start_all(5)
            old = replicas.set_of()
            _add_everywhere(replicas)
            for lost in replicas.running[3:]:
                lost.stop()
            fresh = await replicas.start(3, 'fresh')
            change = evolve(
                old, revision=2, joining=(fresh.replica, *old.members[:4])
            )
            with trio.fail_after(COPY_LIMIT_SECONDS):
                await replicas.catch_up(fresh, change)
            assert len(fresh.state.turns) == TURNS

    trio.run(scenario)


def test_copy_larger_than_a_round_is_whole(tmp_path, monkeypatch):
    """A joining disk requests rounds until the member has no more records."""
    monkeypatch.setattr(service, 'ROUND_BYTES', 3 * len(PROMPT))

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            await replicas.start_all(3)
            old = replicas.set_of()
            _add_everywhere(replicas)
            client = replicas.client(old)
            await client.reserve(reservation('t-new', 5), 100)
            fresh = await replicas.start(3)
            change = _in_place_of_first(old, fresh)
            await replicas.catch_up(fresh, change)
            assert len(fresh.state.turns) == TURNS
            assert list(fresh.state.reservations())

    trio.run(scenario)


def test_copy_between_regions_leaves_room_on_the_link(tmp_path):
    """A copy from another region stays below its bandwidth limit."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            await replicas.start_all(3)
            old = replicas.set_of()
            for number in range(TURNS):
                record = turn(f't{number}')
                record.prompt = PROMPT
                far = replicas.running[2]
                far.state.add_turn(record, trio.current_time())
            fresh = await replicas.start(0, 'fresh')
            replicas.running[1].stop()
            change = _in_place_of_first(old, fresh)
            began = trio.current_time()
            await replicas.catch_up(fresh, change)
            seconds = trio.current_time() - began
            assert len(fresh.state.turns) == TURNS
            assert TURNS * len(PROMPT) / seconds < CROSS_REGION_BYTES_PER_SECOND

    trio.run(scenario)
