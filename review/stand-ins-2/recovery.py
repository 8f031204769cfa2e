"""Steps that the scripts share: start, serve, empty a machine, judge."""

import asyncio
import shutil

from small_platform import BOUNDS

BEFORE, GAP_S = 12, 0.3
# The last seconds before RecoverS, and how long first turns go on after it.
LAST_S, AFTER_S = 4, 5
RUNNER = 'i-7f3a91c2'


async def start_small(fleet, fronts_a_zone=1, retention_s=60.0):
    """Start three store machines and some fronts; return both."""
    stores = [
        fleet.add(f'store-{zone}-1', 'history', zone)
        for zone in ('balaju', 'pokhara-lk', 'teku')
    ]
    fleet.seeds.extend(one.control for one in stores)
    entries = [
        fleet.add(f'front-{zone}-{number}', 'entry', zone)
        for zone in ('teku', 'balaju', 'pokhara-lk')
        for number in range(1, fronts_a_zone + 1)
    ]
    fleet.standard_configuration(retention_s=retention_s)
    await fleet.runner(RUNNER, 'huvo11a', 'teku', streams=True)
    for one in (*stores, *entries):
        await one.start()
    await fleet.wait_ready([one.name for one in entries])
    await fleet.wait_for(lambda: len(fleet.members()) == 3, 15, 'three disks')
    return stores, entries


async def serve_before(fleet, entries):
    """Send first turns; return how many were served and the last one."""
    await fleet.first_turn(entries[0])
    served, last = 0, ''
    for number in range(BEFORE):
        call = f'e5b2907c14da6f{number:02x}'
        entry = entries[number % len(entries)]
        answer = await fleet.turn(entry, call, f'p1{number}')
        if answer.status == 200 and answer.whole:
            served, last = served + 1, call
    fleet.record.line(f'before: {served} of {BEFORE} turns served')
    if 4 * served < BEFORE:
        raise RuntimeError('too few turns were served before the fault')
    return last


def ask_to_empty(fleet, machine):
    """Ask for a store machine to be emptied; return the key of its state."""
    fleet.store.write_json(f'op/retire/{machine.name}', {'DurationS': 8.9})
    fleet.record.line(f'operator: asks to empty {machine.name}')
    return f'status/retire/{machine.name}'


async def take_away(fleet, machine, status, seconds=100.0):
    """Remove the machine once the system says that it is empty."""
    await fleet.wait_for(
        lambda: (fleet.store.read_json(status) or {}).get('State')
        == 'completed', seconds, 'the machine is empty',
    )
    fleet.record.line(f'operator: {machine.name} is empty, takes it away')
    await machine.kill()


def lose_disk(fleet, machine):
    """Lose the disk of a machine that is down."""
    shutil.rmtree(fleet.folder / machine.name)
    fleet.record.line(f'platform: {machine.name} has lost its disk')


async def restart(machines):
    """Start machines that were down."""
    for one in machines:
        one.bootstrap = False
        await one.start()


async def judge_recovery(fleet, entries, last):
    """Send turns after a final fault, judge LOST and note RECOVER.

    New programs go on from a turn made before it until RecoverS has elapsed;
    first turns are sent beside them, and for a while longer.
    """
    clock = asyncio.get_running_loop().time
    back = clock()
    recovered = back + BOUNDS['RecoverS']
    runs = fleet.runners[RUNNER].runs
    tries, after, served, number = [], 0, 0, 0
    while clock() < recovered + AFTER_S:
        began = clock()
        call = f'77d20b7c14da6f{number:02x}'
        previous = last if number % 2 and began < recovered else ''
        if previous and began > recovered - LAST_S:
            tries.append(call)
        entry = entries[number % len(entries)]
        answer = await fleet.turn(entry, call, f'p2{number}', previous)
        if began > recovered:
            after += 1
            served += answer.status == 200 and answer.whole
        number += 1
        await asyncio.sleep(max(0, began + GAP_S - clock()))
    fleet.record.line(f'RECOVER: {served} of {after} turns served that were '
                      f'sent later than {BOUNDS["RecoverS"]} s after all '
                      'machines were back')
    ran = {call for call, _, _ in runs}
    reached = [call for call in tries if call in ran]
    fleet.record.line(f'LOST: {last} was answered whole; of {len(tries)} turns '
                      f'that go on from it in the last {LAST_S} s before '
                      f'RecoverS, {len(reached)} reached a runner; the runner '
                      'is idle')
    if len(tries) < 5:
        raise RuntimeError('too few turns to judge')
    return not reached
