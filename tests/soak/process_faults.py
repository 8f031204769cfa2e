"""Kill, pause, stop and restart processes, and lose their disks."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define

from tests.soak.interval_log import lasting
from tests.soak.plan import Planned
from tests.soak.role_process import RoleProcess
from tests.soak.world import FEWEST_HISTORIES, World, wait_ready

READY_SECONDS = 15.0
HISTORY_START_SECONDS = 1.0
NO_DISK = 'none'

Fault = Callable[[RoleProcess, Planned], Awaitable[None]]


@define(eq=False)
class ProcessFaults:
    """Bring faults of processes about; each ends with a process that runs."""

    world: World
    # The disk that was emptied last; it may not be lost with another.
    wiped_disk: str = ''

    async def bring_about(self, one: Planned) -> None:
        """Bring one fault about, and end it."""
        kind, _, several = one.kind.partition('-')
        fault = {
            'kill': self.kill,
            'pause': self.pause,
            'stop': self.stop,
            'wipe': self.wipe,
        }[kind]
        async with trio.open_nursery() as nursery:
            for process in self.chosen(one, several=bool(several)):
                nursery.start_soon(fault, process, one)

    def chosen(self, one: Planned, *, several: bool) -> list[RoleProcess]:
        """Return one process, every second one, or all of a role."""
        every = list(self.world.processes.values())
        entries = self.world.of_role('entry')
        histories = self.world.of_role('history')
        if several:
            return one.pick([every[::2], every[1::2], entries, histories])
        return [one.pick(histories if one.kind == 'wipe' else every)]

    async def kill(self, process: RoleProcess, one: Planned) -> None:
        """Kill a process; it is back soon."""
        async with process.lock:
            with lasting(self.world.faults, 'killed', process.name):
                await process.kill()
                await self.start_after(process, one.seconds)

    async def pause(self, process: RoleProcess, one: Planned) -> None:
        """Pause a process."""
        async with process.lock:
            with lasting(self.world.faults, 'paused', process.name):
                process.pause()
                await trio.sleep(one.seconds)
                process.resume()

    async def stop(self, process: RoleProcess, one: Planned) -> None:
        """Stop a process as planned, and start it again."""
        async with process.lock:
            with lasting(self.world.faults, 'stopped', process.name):
                if not await process.terminate():
                    self.world.ledger.violate(
                        'planned stops', '', f'{process.name} outlived its time'
                    )
                await self.start_after(process, one.seconds)

    async def wipe(self, process: RoleProcess, one: Planned) -> None:
        """Lose the disk of a history, if no other is lost now."""
        async with process.lock:
            if not self.may_wipe():
                return
            with lasting(self.world.faults, 'wiped', process.name):
                self.wiped_disk = self.disk_of(process.name)
                await process.kill()
                process.wipe()
                await self.start_after(process, one.seconds)

    async def start_after(self, process: RoleProcess, seconds: float) -> None:
        """Start a process again, and wait until it takes part."""
        await trio.sleep(seconds)
        process.start()
        if process.place.role == 'entry':
            with trio.move_on_after(READY_SECONDS):
                await wait_ready(process)
        else:
            await trio.sleep(HISTORY_START_SECONDS)

    def may_wipe(self) -> bool:
        """Tell whether the set does without the disk lost before."""
        replica_set = self.world.replica_set()
        disks = {one['disk_id'] for one in replica_set['members']}
        whole = len(disks) >= FEWEST_HISTORIES and not replica_set['joining']
        return whole and self.wiped_disk not in disks

    def disk_of(self, name: str) -> str:
        """Return the disk by which a VM takes part."""
        members = self.world.replica_set()['members']
        found = [one['disk_id'] for one in members if one['vm'] == name]
        return found[0] if found else NO_DISK
