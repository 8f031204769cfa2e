"""Check that configurations reach all members and never revert."""

import trio
from configurations import caller_changes, target_change
from fleets import bench
from members import until
from stand_ins import serving

from jasminewheel._internal.fakes.faults import FaultMode
from jasminewheel._internal.fakes.vms import FakeVms, FakeVmsSettings
from jasminewheel._internal.fleet.gauges import FleetGauges
from jasminewheel._internal.membership.member import ENTRY, HISTORY
from jasminewheel._internal.membership.vm_list import HttpVmList
from jasminewheel._internal.observability.metrics import NoMetrics


def test_in_force_everywhere():
    """A committed change is in force on all members within seconds."""

    async def main():
        async with bench() as fleet:
            await fleet.start('vm-0')
            for number in range(1, 6):
                fleet.nursery.start_soon(
                    fleet.start,
                    f'vm-{number}',
                    ENTRY,
                    fleet.addresses(),
                )
            await until(lambda: len(fleet.fleets) == 6)
            await fleet.commit(target_change())
            with trio.fail_after(5):
                await fleet.until_version(1)

    trio.run(main)


def test_store_down_at_start():
    """A member that starts while the store is down uses its peers' version."""

    async def main():
        async with bench() as fleet:
            await fleet.commit(target_change())
            await fleet.start('vm-0')
            await fleet.start('vm-1', ENTRY, fleet.addresses())
            fleet.stand_in.faults.mode = FaultMode.down
            started = await fleet.start('vm-2', ENTRY, fleet.addresses())
            assert 'helper' in started.view.current.targets

    trio.run(main)


def test_older_peer_does_not_revert():
    """A member keeps its version if a peer or the store has an older one."""

    async def main():
        async with bench() as fleet:
            first = await fleet.commit(target_change())
            old = await fleet.start('vm-0')
            fleet.stand_in.faults.mode = FaultMode.down
            new = await fleet.start('vm-1', ENTRY, fleet.addresses())
            second = first.apply([target_change('second')], 'mark')
            new.spread.configuration.install(second)
            assert not new.spread.configuration.install(first)
            await fleet.until_version(2)
            fleet.stand_in.faults.mode = FaultMode.ok
            assert await old.install_from_store()
            assert fleet.versions() == {'vm-0': 2, 'vm-1': 2}

    trio.run(main)


def test_restart_of_all_but_one():
    """Members restarted with the store down get the version of a survivor."""

    async def main():
        async with bench() as fleet:
            await fleet.commit(target_change())
            survivor = await fleet.start('vm-0')
            await fleet.start('vm-1', ENTRY, fleet.addresses())
            fleet.stand_in.faults.mode = FaultMode.down
            fleet.kill('vm-1')
            again = await fleet.start(
                'vm-1',
                ENTRY,
                [survivor.membership.local_member.peer_address],
            )
            assert again.view.current.version == 1

    trio.run(main)


def test_no_join_without_store_and_peers():
    """A member that reaches neither the store nor a peer is not ready."""

    async def main():
        async with bench() as fleet:
            fleet.stand_in.faults.mode = FaultMode.down
            with trio.move_on_after(2) as scope:
                await fleet.start('vm-0', ENTRY, ['127.0.0.1:1'])
            assert scope.cancelled_caught
            fleet.nursery.cancel_scope.cancel()

    trio.run(main)


def test_first_replica_sets():
    """History members get replica sets over three zones, on all members."""

    async def main():
        async with bench() as fleet:
            await fleet.start('vm-0')
            for number in range(3):
                fleet.nursery.start_soon(
                    fleet.start,
                    f'disk-{number}',
                    HISTORY,
                    fleet.addresses(),
                )
            await until(lambda: len(fleet.fleets) == 4)
            await until(
                lambda: all(
                    each.placements.epoch == 1 for each in fleet.fleets.values()
                ),
            )
            placement = fleet.fleets['vm-0'].placements.placement
            assert all(
                set(one) == {'disk-0#d', 'disk-1#d', 'disk-2#d'}
                for one in placement.current
            )

    trio.run(main)


def test_parts_come_from_peers():
    """A member that joins a fleet reads no parts from the store."""

    async def main():
        async with bench() as fleet:
            await fleet.commit(*caller_changes(2000))
            await fleet.start('vm-0')
            reads = fleet.stand_in.calls['get']
            joined = await fleet.start('vm-1', ENTRY, fleet.addresses())
            assert len(joined.view.current.callers) == 2000
            assert fleet.stand_in.calls['get'] - reads < 10

    trio.run(main)


def test_change_while_regions_are_apart():
    """The far region gets the change after the partition, never an older."""

    async def main():
        async with bench() as fleet:
            await fleet.commit(target_change())
            await fleet.start('near-0')
            await fleet.start('near-1', ENTRY, fleet.addresses())
            for name in ('far-0', 'far-1'):
                # The store is in the near region.
                fleet.nursery.start_soon(
                    fleet.start,
                    name,
                    ENTRY,
                    fleet.addresses(),
                    'http://127.0.0.1:1',
                )
            await until(lambda: len(fleet.fleets) == 4)
            await fleet.until_version(1)
            fleet.cut(('near-0', 'near-1'), ('far-0', 'far-1'))
            await fleet.commit(target_change('second'))
            await until(
                lambda: list(fleet.versions().values()).count(2) == 2,
            )
            far = fleet.fleets['far-0'].membership
            await until(lambda: len(far.live()) == 2)
            versions = fleet.versions()
            assert versions['far-0'] == versions['far-1'] == 1
            fleet.heal()
            await until(lambda: set(fleet.versions().values()) == {2}, 30)

    trio.run(main)


def test_stale_list_of_vms():
    """Members find each other by a list with dead and leaving VMs."""

    async def main():
        async with bench() as fleet:
            first = await fleet.start('vm-0')
            rows = [
                vm_row('gone', '127.0.0.1:1', 'live'),
                vm_row(
                    'vm-0',
                    first.membership.local_member.peer_address,
                    'leaving',
                ),
            ]
            settings = FakeVmsSettings(vms=tuple(rows))
            async with serving(FakeVms(settings)) as url:
                async with HttpVmList(url) as vms:
                    fleet.vms = vms
                    # The list is the only way to find the others.
                    fleet.stand_in.faults.mode = FaultMode.down
                    second = await fleet.start('vm-1')
                    assert len(second.membership.live()) == 2
                    owner = second.membership.preferred_owner
                    await until(
                        lambda: (
                            {owner(slot).member for slot in range(50)}
                            == {'vm-1'}
                        ),
                    )
                    fleet.nursery.cancel_scope.cancel()

    trio.run(main)


def vm_row(name, address, state):
    """Return a row of the list."""
    return {
        'member': name,
        'zone': f'zone-{name}',
        'address': address,
        'state': state,
    }


def test_gauges():
    """Metrics report the live members and the version in force."""

    async def main():
        async with bench() as fleet:
            await fleet.commit(target_change())
            started = await fleet.start('vm-0')
            gauges = FleetGauges(started, NoMetrics()).read()
            assert gauges['members.live'] == 1
            assert gauges['configuration.version'] == 1

    trio.run(main)
