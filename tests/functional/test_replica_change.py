"""Check that slots move to other disks when a disk leaves."""

from contextlib import asynccontextmanager

import pytest
import trio
from attrs import define, frozen

from jasminewheel._internal.replication.change import (
    ChangeTiming,
    ReplicaChangeCoordinator,
    begin_change,
)
from jasminewheel._internal.replication.placement import (
    PLACEMENT_KEY,
    Placement,
    PlacementView,
)
from jasminewheel.errors import FencedError
from tests.histories import fleet, placement_of
from tests.memory_store import MemoryStore

FOUR = ('h1', 'h2', 'h3', 'h4')
TIMING = ChangeTiming(
    interval_seconds=0.05,
    absent_seconds=0.2,
    stall_timeout_seconds=1,
    pause_seconds=0,
    poll_seconds=0.05,
)


@frozen
class LiveHistory:
    """Represent a live history process."""

    member: str
    zone: str
    peer_address: str
    leaving: bool = False
    limit_rate: float | None = None


@define
class Bench:
    """Provide histories, a store with the placement, and coordinators."""

    fleet: object
    store: MemoryStore
    leaving: tuple = ()

    def listed(self):
        """Return the running histories."""
        return [
            LiveHistory(name, f'zone-{name}', one.address, name in self.leaving)
            for name, one in self.fleet.histories.items()
        ]

    async def placement(self):
        """Return the placement in the store."""
        stored = await self.store.get(PLACEMENT_KEY)
        return Placement.from_json(stored.value)

    @asynccontextmanager
    async def coordinator(self, name):
        """Yield a coordinator with its own connections and no slots."""
        placement = await self.placement()
        async with self.fleet.owner(name, placement) as ownership:
            yield ReplicaChangeCoordinator(
                self.store, ownership, self.listed, TIMING
            )

    async def run_until(self, change, epoch):
        """Run steps until the placement in the store has the epoch."""
        while (await self.placement()).epoch < epoch:
            await change.step(trio.current_time())
            await trio.sleep(0.02)


@asynccontextmanager
async def bench(folder, slots=4):
    """Run four histories; the first three are the replicas of all slots."""
    async with fleet(folder, *FOUR) as running:
        store = MemoryStore()
        first = placement_of(*running.replicas(*FOUR[:3]), slots=slots)
        await store.put(PLACEMENT_KEY, first.to_json(), 0)
        yield Bench(running, store)


def run(scenario, folder):
    """Run a scenario with a deadline."""

    async def bounded():
        with trio.fail_after(60):
            await scenario(folder)

    trio.run(bounded)


def test_slots_survive_two_lost_disks(tmp_path):
    """After a change a second disk may be lost without losing records."""

    async def scenario(folder):
        async with bench(folder) as here:
            running = here.fleet
            async with running.owner('a', await here.placement()) as owner:
                running.stop('h3')
                slot = await owner.own(1)
                await slot.append('p', 0, 'turn', b'x')
                await slot.append('p', 1, 'turn', b'y')
            await running.start('h3')
            running.stop('h1')
            # From here on only h2 has the records.
            async with here.coordinator('b') as change:
                await here.run_until(change, 3)
            placement = await here.placement()
            assert placement.previous is None
            assert set(placement.current[0]) == set(
                running.replicas('h2', 'h3', 'h4')
            )
            running.stop('h2')
            async with running.owner('c', placement) as owner:
                slot = await owner.own(1)
                payloads = [one.payload for one in await slot.read('p')]
                assert payloads == [b'x', b'y']

    run(scenario, tmp_path)


def test_owner_moves_and_goes_on(tmp_path):
    """A live owner follows the change without losing its slot."""

    async def scenario(folder):
        async with bench(folder, slots=1) as here:
            running = here.fleet
            first = await here.placement()
            async with (
                running.owner('a', first) as owner,
                here.coordinator('b') as change,
                trio.open_nursery() as nursery,
            ):
                view = owner.placement_source
                nursery.start_soon(owner.follow, view)
                nursery.start_soon(install_from_store, here, view)
                slot = await owner.own(0)
                stop = trio.Event()
                for log_id in 'abcdefgh':
                    nursery.start_soon(append_until, stop, slot, log_id)
                running.stop('h1')
                await here.run_until(change, 3)
                await until(lambda: slot.fence.epoch == 3)
                stop.set()
                assert owner.owned(0) is slot
                records = await slot.read('a')
                assert len(records) > 10
                assert_numbered(records)
                nursery.cancel_scope.cancel()

    run(scenario, tmp_path)


async def install_from_store(here, view):
    """Install what the store has, as heartbeats would."""
    while True:
        view.install(await here.placement())
        await trio.sleep(0.02)


async def append_until(stop, slot, log_id):
    """Append numbered records without pause until stopped."""
    index = 0
    while not stop.is_set():
        await slot.append(log_id, index, 'turn', b'%d' % index)
        index += 1


def assert_numbered(records):
    """Check that no record is lost, duplicated or out of order."""
    numbers = [int(record.payload) for record in records]
    assert numbers == list(range(len(records)))


async def until(condition):
    """Wait for a condition."""
    while not condition():
        await trio.sleep(0.01)


def test_another_vm_completes_the_change(tmp_path):
    """A change whose first coordinator failed half-way is completed."""

    async def scenario(folder):
        async with bench(folder) as here:
            async with here.fleet.owner('a', await here.placement()) as owner:
                slot = await owner.own(1)
                await slot.append('p', 0, 'turn', b'x')
            stored = await here.store.get(PLACEMENT_KEY)
            target = (tuple(here.fleet.replicas('h4', 'h2', 'h3')),)
            joint = await begin_change(here.store, stored, target, 'dead')
            async with here.fleet.owner('b', joint) as owner:
                copied = await owner.own(2)
                await copied.copy_logs()
            async with here.coordinator('c') as change:
                await here.run_until(change, 3)
            async with here.fleet.owner('d', await here.placement()) as owner:
                slot = await owner.own(1)
                assert len(await slot.read('p')) == 1

    run(scenario, tmp_path)


def test_leaving_disk_is_replaced_at_once(tmp_path):
    """A disk whose process announces to leave is replaced without delay."""

    async def scenario(folder):
        async with bench(folder) as here:
            here.leaving = ('h2',)
            async with here.coordinator('b') as change:
                await change.step(0)
                placement = await here.placement()
                assert placement.epoch == 2
                assert placement.current[0][1] == here.fleet.replicas('h4')[0]
                await here.run_until(change, 3)

    run(scenario, tmp_path)


def test_lost_answers_of_the_store(tmp_path):
    """A write to the store whose answer is lost takes effect once."""

    async def scenario(folder):
        async with bench(folder) as here:
            here.leaving = ('h2',)
            async with here.coordinator('b') as change:
                # Each step reads the placement, then writes the next one.
                here.store.faults = ['ok', 'lost', 'ok']
                await change.step(0)
                assert (await here.placement()).epoch == 2
                here.store.faults = ['ok', 'lost', 'lost', 'ok']
                await change.step(0)
            placement = await here.placement()
            assert placement.epoch == 3
            assert placement.previous is None

    run(scenario, tmp_path)


def test_owner_of_the_old_sets_is_refused(tmp_path):
    """An owner that missed the change can neither append nor seal."""

    async def scenario(folder):
        async with bench(folder) as here:
            first = await here.placement()
            here.leaving = ('h2',)
            async with here.fleet.owner('a', first) as owner:
                slot = await owner.own(1)
                await slot.append('p', 0, 'turn', b'x')
                async with here.coordinator('b') as change:
                    await here.run_until(change, 3)
                with pytest.raises(FencedError):
                    await slot.append('p', 1, 'turn', b'y')
                with pytest.raises(FencedError, match='newer epoch'):
                    await owner.own(1)

    run(scenario, tmp_path)


def test_rejoining_disk_voids_what_it_held(tmp_path):
    """A log dropped while a disk was out of the set is not restored."""

    async def scenario(folder):
        async with bench(folder) as here:
            running = here.fleet
            async with running.owner('a', await here.placement()) as owner:
                slot = await owner.own(1)
                await slot.append('p', 0, 'turn', b'x')
            running.stop('h1')
            async with here.coordinator('b') as change:
                await here.run_until(change, 3)
            async with running.owner('a', await here.placement()) as owner:
                slot = await owner.own(1)
                await slot.drop('p')
                await slot.append('q', 0, 'turn', b'y')
            forget_drops(running)
            await running.start('h1')
            here.leaving = ('h4',)
            async with here.coordinator('b') as change:
                await here.run_until(change, 5)
            placement = await here.placement()
            assert running.replicas('h1')[0] in placement.current[0]
            async with running.owner('c', placement) as owner:
                slot = await owner.own(1)
                assert not await slot.read('p')
                assert slot.log_ids == {'q'}

    run(scenario, tmp_path)


def forget_drops(running):
    """Forget drops as a purge does once no replica of the set needs them."""
    for history in running.histories.values():
        history.journal.state.slot(1).dropped.clear()


def test_view_refuses_an_older_placement():
    """A view installs only placements of a higher epoch."""
    view = PlacementView(placement_of('h1', epoch=2))
    assert not view.install(placement_of('h2', epoch=1))
    assert view.install(placement_of('h2', epoch=3))
    assert view.current.current == (('h2',),)
