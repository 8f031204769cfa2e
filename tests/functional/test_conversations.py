"""Check that turns and budgets survive the loss of replicas."""

from copy import copy

import pytest
import trio
from attrs import evolve

from jasminewheel._internal.conversation.client import TurnCache
from jasminewheel._internal.conversation.replica_set import ReplicaSet
from jasminewheel.errors import (
    BudgetError,
    NotFoundError,
    QuorumError,
    UnavailableError,
)
from tests.turn_replicas import reservation, turn, turn_replicas


async def _start(replicas) -> ReplicaSet:
    await replicas.start(0)
    await replicas.start(1)
    await replicas.start(2)
    return replicas.set_of()


def _without_cache(client):
    return evolve(client, cache=TurnCache(0))


def test_chain_is_read_whole_from_any_majority(tmp_path):
    """Turns committed to different majorities form one chain."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            known = await _start(replicas)
            client = _without_cache(replicas.client(known))
            await client.commit(turn('t1'))
            first = replicas.running[0]
            first.stop()
            await client.commit(turn('t2', 't1', ['t1']))
            await client.commit(turn('t3', 't2', ['t2', 't1']))
            chain = await client.chain('t3')
            assert [one.turn_id for one in chain] == ['t1', 't2', 't3']
            assert chain[0].prompt == b'ask t1 '

    trio.run(scenario)


def test_absent_turn_needs_a_majority_to_be_sure(tmp_path):
    """A missing turn is reported as absent only if a majority replies."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            client = replicas.client(await _start(replicas))
            with pytest.raises(NotFoundError):
                await client.chain('never')
            replicas.running[1].stop()
            with pytest.raises(NotFoundError):
                await client.chain('never')
            replicas.running[2].stop()
            with pytest.raises(UnavailableError):
                await client.chain('never')

    trio.run(scenario)


def test_one_replica_is_enough_to_find_a_turn(tmp_path):
    """A turn on one replica is found while the others are down."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            client = _without_cache(replicas.client(await _start(replicas)))
            await client.commit(turn('t1'))
            holders = [
                one for one in replicas.running if 't1' in one.state.turns
            ]
            for replica in replicas.running:
                if replica is not holders[0]:
                    replica.stop()
            chain = await client.chain('t1')
            assert [one.turn_id for one in chain] == ['t1']

    trio.run(scenario)


def test_turns_and_budgets_are_there_after_a_restart(tmp_path):
    """Replicas load all acknowledged records after a restart."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            client = replicas.client(await _start(replicas))
            await client.commit(turn('t1'))
            await client.reserve(reservation('t2', 80), 100)
            for replica in replicas.running:
                replica.stop()
        async with turn_replicas(tmp_path) as replicas:
            client = replicas.client(await _start(replicas))
            assert len(await client.chain('t1')) == 1
            with pytest.raises(BudgetError):
                await client.reserve(reservation('t3', 20), 100)

    trio.run(scenario)


def test_reservations_at_once_never_exceed_the_budget(tmp_path):
    """Concurrent reservations of several clients stay within one budget."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            known = await _start(replicas)
            granted: list[str] = []

            async def reserve(turn_id: str) -> None:
                client = replicas.client(known)
                try:
                    await client.reserve(reservation(turn_id, 10), 55)
                except BudgetError:
                    return
                granted.append(turn_id)

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(reserve, f't{number}')
            assert len(granted) <= 5

    trio.run(scenario)


def test_refused_reservation_gives_its_tokens_back(tmp_path):
    """A refused reservation is settled at zero and frees its tokens."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            client = replicas.client(await _start(replicas))
            await client.reserve(reservation('t1', 60), 100)
            with pytest.raises(BudgetError):
                await client.reserve(reservation('t2', 60), 100)
            await trio.sleep(0.2)
            await client.reserve(reservation('t3', 40), 100)

    trio.run(scenario)


def test_newcomer_holds_all_before_the_change_ends(tmp_path):
    """The replacement of a lost disk copies all turns before it joins."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            old = await _start(replicas)
            client = _without_cache(replicas.client(old))
            await client.commit(turn('t1'))
            wiped = replicas.running[0]
            wiped.stop()
            fresh = await replicas.start(0, 'fresh')
            joining = (fresh.replica, *old.members[1:])
            change = evolve(old, revision=2, joining=joining)
            await replicas.catch_up(fresh, change)
            assert 't1' in fresh.state.turns

    trio.run(scenario)


def test_writes_under_an_older_set_are_refused(tmp_path):
    """After a joining replica copied, clients of the old set are fenced.

    Otherwise they could commit turns that the joining replica misses.
    """

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            old = await _start(replicas)
            late = replicas.client(old)
            fresh = await replicas.start(3)
            joining = (fresh.replica, *old.members[1:])
            change = evolve(old, revision=2, joining=joining)
            await replicas.catch_up(fresh, change)
            with pytest.raises(UnavailableError):
                await late.commit(turn('t1'))
            late.quorum.sets.adopt(change)
            await late.commit(turn('t2'))
            finished = evolve(change, revision=3, members=joining, joining=())
            replicas.running[0].stop()
            chain = await replicas.client(finished).chain('t2')
            assert [one.turn_id for one in chain] == ['t2']

    trio.run(scenario)


def test_copy_without_a_majority_is_no_copy(tmp_path):
    """A copy fails if the joining replica reaches no read quorum."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            old = await _start(replicas)
            replicas.running[0].stop()
            replicas.running[1].stop()
            fresh = await replicas.start(3)
            joining = (*old.members[1:], fresh.replica)
            change = evolve(old, revision=2, joining=joining)
            with pytest.raises(QuorumError):
                await replicas.catch_up(fresh, change)

    trio.run(scenario)


def test_set_of_two_outlives_the_loss_of_a_disk(tmp_path):
    """In a set shrunk to two, either disk can be lost and replaced."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            await replicas.start(0)
            await replicas.start(1)
            pair = replicas.set_of()
            client = _without_cache(replicas.client(pair))
            await client.commit(turn('t1'))
            replicas.running[0].stop()
            fresh = await replicas.start(0, 'fresh')
            joining = (pair.members[1], fresh.replica)
            change = evolve(pair, revision=2, joining=joining)
            await replicas.catch_up(fresh, change)
            assert 't1' in fresh.state.turns

    trio.run(scenario)


def test_large_turns_are_copied_in_pages(tmp_path):
    """Records that together exceed the size of one message are copied."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            known = await _start(replicas)
            client = replicas.client(known)
            large = turn('t1')
            large.prompt = bytes(4_000_000)
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    one = copy(large)
                    one.turn_id = f't{number}'
                    nursery.start_soon(client.commit, one)
            fresh = await replicas.start(3)
            await replicas.catch_up(fresh, evolve(known, revision=2))
            assert len(fresh.state.turns) == 6

    trio.run(scenario)


def test_reader_amid_a_change_is_never_sure_wrongly(tmp_path):
    """A client with an outdated set does not report new turns as absent.

    Its change has finished unseen, and the turn is only on replicas that it
    ranks last.
    """

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            old = await _start(replicas)
            fresh = await replicas.start(3)
            joining = (*old.members[1:], fresh.replica)
            change = evolve(old, revision=2, joining=joining)
            await replicas.catch_up(fresh, change)
            late = replicas.client(change)
            late.quorum.distance = _far_from('east-b', 'west-b')
            finished = evolve(change, revision=3, members=joining, joining=())
            current = replicas.client(finished)
            current.quorum.distance = _far_from('west-a')
            await current.commit(turn('t1'))
            assert 't1' not in replicas.running[2].state.turns
            with pytest.raises(UnavailableError):
                await late.chain('t1')

    trio.run(scenario)


def _far_from(*zones: str):
    return lambda zone: float(zone in zones)
