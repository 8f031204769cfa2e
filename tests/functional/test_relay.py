"""Check that an entry partitioned from the disks still serves turns."""

from contextlib import asynccontextmanager

import pytest
import trio

from jasminewheel._internal.conversation.entry_list import ENTRY_PREFIX
from jasminewheel._internal.conversation.quorum_watch import QuorumWatch
from jasminewheel._internal.conversation.relay import ReplicaMessage
from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import BudgetError, PeerError, UnavailableError
from tests.relay_entries import start_entries
from tests.turn_replicas import reservation, turn, turn_replicas

# A stream may pause for 0.4 s; the first turn after a partition takes less.
FIRST_SECONDS = 0.4
LATER_SECONDS = 0.1


@asynccontextmanager
async def _entries(folder, count):
    async with turn_replicas(folder) as replicas:
        await replicas.start(0)
        await replicas.start(1)
        await replicas.start(2)
        started = await start_entries(replicas, count)
        async with trio.open_nursery() as nursery:
            for entry in started:
                reserve = entry.conversations.reserve
                nursery.start_soon(reserve, reservation('warm', 1), 100)
        yield replicas, replicas.set_of(), started


async def _commit_seconds(entry, turn_id):
    began = trio.current_time()
    await entry.conversations.commit(turn(turn_id))
    return trio.current_time() - began


def test_cut_entry_keeps_turns_through_another(tmp_path):
    """Turns continue soon after a partition, and then without delay."""

    async def scenario() -> None:
        async with _entries(tmp_path, 2) as (replicas, known, (cut, _)):
            cut.partition_from(known)
            assert await _commit_seconds(cut, 't1') < FIRST_SECONDS
            assert await _commit_seconds(cut, 't2') < LATER_SECONDS
            assert await _commit_seconds(cut, 't3') < LATER_SECONDS
            holders = [
                one for one in replicas.running if 't3' in one.state.turns
            ]
            assert len(holders) >= 2

    trio.run(scenario)


def test_budget_holds_over_a_cut(tmp_path):
    """A partitioned entry and another one share the budget."""

    async def scenario() -> None:
        async with _entries(tmp_path, 2) as (_, known, (cut, other)):
            cut.partition_from(known)
            await cut.conversations.reserve(reservation('t1', 60), 100)
            with pytest.raises(BudgetError):
                await other.conversations.reserve(reservation('t2', 60), 100)

    trio.run(scenario)


def test_another_entry_that_is_cut_is_passed_over(tmp_path):
    """If the nearest other entry is partitioned too, the next one relays."""

    async def scenario() -> None:
        async with _entries(tmp_path, 3) as (_, known, (cut, near, _far)):
            cut.partition_from(known)
            near.partition_from(known)
            assert await _commit_seconds(cut, 't1') < 2 * FIRST_SECONDS
            assert await _commit_seconds(cut, 't2') < LATER_SECONDS

    trio.run(scenario)


def test_two_more_entries_that_are_cut_cost_no_two_timeouts(tmp_path):
    """The third entry is probed while the nearer two have not answered."""

    async def scenario() -> None:
        async with _entries(tmp_path, 4) as (_, known, (cut, *others)):
            for entry in (cut, *others[:2]):
                entry.partition_from(known)
            assert await _commit_seconds(cut, 't1') < 2 * FIRST_SECONDS
            assert await _commit_seconds(cut, 't2') < LATER_SECONDS

    trio.run(scenario)


def test_all_entries_cut_are_told_at_once(tmp_path):
    """Without any route a turn is refused, and later ones fail at once."""

    async def scenario() -> None:
        async with _entries(tmp_path, 2) as (_, known, entries):
            for entry in entries:
                entry.partition_from(known)
            with pytest.raises(UnavailableError):
                await _commit_seconds(entries[0], 't1')
            began = trio.current_time()
            with pytest.raises(UnavailableError):
                await _commit_seconds(entries[0], 't2')
            assert trio.current_time() - began < LATER_SECONDS

    trio.run(scenario)


def test_direct_way_is_used_again_after_the_cut(tmp_path):
    """No requests are relayed once the disks reply directly again."""

    async def scenario() -> None:
        async with _entries(tmp_path, 2) as (_, known, (cut, other)):
            cut.partition_from(known)
            await _commit_seconds(cut, 't1')
            cut.pool.unreachable = set()
            while cut.quorum.unavailable_count():
                await trio.sleep(0.02)
            cut.pool.asked.clear()
            await _commit_seconds(cut, 't2')
            assert other.listed.address not in cut.pool.asked

    trio.run(scenario)


def test_one_dead_replica_needs_no_other_entry(tmp_path):
    """While a majority replies, no requests are relayed."""

    async def scenario() -> None:
        async with _entries(tmp_path, 2) as (replicas, _, (entry, other)):
            replicas.running[0].stop()
            await _commit_seconds(entry, 't1')
            await _commit_seconds(entry, 't2')
            await _commit_seconds(entry, 't3')
            assert other.listed.address not in entry.pool.asked

    trio.run(scenario)


def test_only_known_replicas_and_messages_are_passed_on(tmp_path):
    """A relay rejects unknown disks and other types of messages."""

    async def scenario() -> None:
        async with _entries(tmp_path, 2) as (_, known, (entry, other)):
            scope = wire.ReplicaScope(replica='d1', set_revision=1)
            strange = ReplicaMessage(
                known.members[0],
                wire.ReadMissingRecords(scope=scope, known_turns=[]),
                wire.RecordPage,
                1,
            )
            relays = entry.quorum.relays
            with pytest.raises(PeerError, match='cannot be relayed'):
                await relays.ask_through(other.listed, strange)
            elsewhere = wire.RelayQuestion(
                replica='elsewhere',
                message_name='ReadChain',
                message=b'',
                timeout_seconds=1,
            )
            with pytest.raises(PeerError, match='no replica'):
                await entry.pool.ask(
                    other.listed.address,
                    elsewhere,
                    wire.RelayAnswer,
                    timeout_seconds=1,
                )

    trio.run(scenario)


def test_entries_are_learned_from_the_store_s_keys(tmp_path):
    """Invalid keys and the entry's own are skipped, deleted ones removed."""

    async def scenario() -> None:
        async with _entries(tmp_path, 2) as (_, _known, (entry, other)):
            listed = other.listed
            entry.entries.entries = {}
            good = listed.listing(None).written
            stored = {
                f'{ENTRY_PREFIX}entry-0': good,
                f'{ENTRY_PREFIX}entry-1': good,
                f'{ENTRY_PREFIX}entry-2': b'{"vm": 3}',
                f'{ENTRY_PREFIX}entry-3': b'\xff',
            }
            items = {
                key: StoreItem(key, text, 1) for key, text in stored.items()
            }
            entry.entries.items_changed(items, frozenset(items))
            assert entry.entries.nearest_first() == [listed]
            entry.entries.items_changed({}, frozenset(items))
            assert not entry.entries.nearest_first()

    trio.run(scenario)


def test_start_waits_for_a_majority(tmp_path):
    """A starting entry continues as soon as a majority replies."""

    async def scenario() -> None:
        async with _entries(tmp_path, 1) as (_, known, (entry,)):
            entry.partition_from(known)
            watch = QuorumWatch(entry.quorum)
            with trio.move_on_after(0.3) as waiting:
                await watch.wait_for_majority()
            assert waiting.cancelled_caught
            entry.pool.unreachable = set()
            began = trio.current_time()
            await watch.wait_for_majority()
            assert trio.current_time() - began < LATER_SECONDS
            assert await _commit_seconds(entry, 't1') < LATER_SECONDS

    trio.run(scenario)
