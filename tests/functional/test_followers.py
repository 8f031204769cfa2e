"""Check that entries follow the histories' reading of the store."""

from functools import partial

import pytest
import trio

from tests.platform_fleet import platform_fleet

# Limits that the users set for their smallest deployments.
CONFIGURATION_SECONDS = 2.5
CONTACT_SECONDS = 4.0
# By when all processes follow one after their start.
FOLLOWING_SECONDS = 2.0


@pytest.fixture
def run_scenario(tmp_path):
    """Run a scenario with three histories, two entries and two runners."""

    async def run(scenario) -> None:
        async with platform_fleet(tmp_path) as fleet:
            fleet.configure()
            await fleet.add_runner('desk-1', 'desk')
            await fleet.add_runner('model-1', 'model')
            await fleet.start_histories()
            entries = [
                await fleet.start_entry('entry-1'),
                await fleet.start_entry('entry-2'),
            ]
            await trio.sleep(FOLLOWING_SECONDS)
            await scenario(fleet, entries)

    return lambda scenario: trio.run(partial(run, scenario))


async def _metric(fleet, role, name: str) -> float:
    """Return a gauge of a process."""
    page = (await fleet.scrape(role)).body.decode()
    lines = [one.split() for one in page.splitlines()]
    return float(dict(one for one in lines if len(one) == 2)[name])


async def _watches(fleet, entry) -> float:
    return await _metric(fleet, entry, 'jasminewheel_store_calls_watch')


async def _wait_for_version(fleet, entry, version: int) -> None:
    name = 'jasminewheel_configuration_version'
    while await _metric(fleet, entry, name) != version:
        await trio.sleep(0.02)


def test_changes_reach_entries_without_calls_of_their_own(run_scenario):
    """Configurations and runners are told by a history."""

    async def scenario(fleet, entries) -> None:
        first, second = entries
        watches = await _watches(fleet, first), await _watches(fleet, second)
        fleet.configure(version=9)
        fleet.store.remove('servers/desk-1')
        with trio.fail_after(1):
            await _wait_for_version(fleet, entries[0], 9)
            await _wait_for_version(fleet, entries[1], 9)
        assert (await fleet.ask(entries[0], '/look/a')).status == 503
        assert not fleet.runners['desk-1'].ran
        assert watches[0] == await _watches(fleet, first)
        assert watches[1] == await _watches(fleet, second)
        followed = 'jasminewheel_store_followed'
        assert await _metric(fleet, entries[0], followed) == 1

    run_scenario(scenario)


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_configuration_reaches_all_without_some_histories(run_scenario, lost):
    """Entries follow those that are left, or watch the store themselves."""

    async def scenario(fleet, entries) -> None:
        for vm in ('store-1', 'store-2', 'store-3')[:lost]:
            fleet.scopes[vm].cancel()
        fleet.configure(version=9)
        with trio.fail_after(CONFIGURATION_SECONDS):
            await _wait_for_version(fleet, entries[0], 9)
            await _wait_for_version(fleet, entries[1], 9)
        assert (await fleet.ask(entries[0], '/look/a')).status == 200

    run_scenario(scenario)


def test_entry_follows_again_once_histories_are_back(run_scenario):
    """The store is watched directly for a while only."""

    async def scenario(fleet, entries) -> None:
        vms = ('store-1', 'store-2', 'store-3')
        for vm in vms:
            fleet.scopes[vm].cancel()
        await trio.sleep(1)
        assert await _metric(fleet, entries[0], 'jasminewheel_store_away') == 0
        for vm in vms:
            fleet.restart(vm)
        await trio.sleep(2 * CONTACT_SECONDS)
        watches = await _watches(fleet, entries[0])
        fleet.configure(version=9)
        with trio.fail_after(CONFIGURATION_SECONDS):
            await _wait_for_version(fleet, entries[0], 9)
        assert await _watches(fleet, entries[0]) == watches

    run_scenario(scenario)
