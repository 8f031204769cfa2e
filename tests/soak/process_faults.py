"""Kill, pause, stop and restart processes, and wipe their disks."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define

from tests.soak.fault_log import recorded_fault
from tests.soak.plan import PlannedFault
from tests.soak.role_process import RoleProcess
from tests.soak.world import MIN_HISTORIES, World, wait_ready

READY_SECONDS = 15.0
HISTORY_START_SECONDS = 1.0
NO_DISK = 'none'

ProcessFault = Callable[[RoleProcess, PlannedFault], Awaitable[None]]


@define(eq=False)
class ProcessFaults:
    """Inject faults into processes; each ends with a running process."""

    world: World
    # The disk that was wiped last. No other is wiped while it is still a member
    # of the replica set.
    wiped_disk: str = ''

    async def inject(self, fault: PlannedFault) -> None:
        """Inject one fault, and end it."""
        kind, _, several = fault.kind.partition('-')
        inject_fault = {
            'kill': self.kill,
            'pause': self.pause,
            'stop': self.stop,
            'wipe': self.wipe,
        }[kind]
        async with trio.open_nursery() as nursery:
            for process in self.select_processes(fault, several=bool(several)):
                nursery.start_soon(inject_fault, process, fault)

    def select_processes(
        self, fault: PlannedFault, *, several: bool
    ) -> list[RoleProcess]:
        """Return one process, every second process, or all of a role."""
        processes = list(self.world.processes.values())
        entries = self.world.of_role('entry')
        histories = self.world.of_role('history')
        if several:
            return fault.pick(
                [processes[::2], processes[1::2], entries, histories]
            )
        return [fault.pick(histories if fault.kind == 'wipe' else processes)]

    async def kill(self, process: RoleProcess, fault: PlannedFault) -> None:
        """Kill a process, and restart it."""
        async with process.lock:
            with recorded_fault(self.world.faults, 'killed', process.name):
                await process.kill()
                await self.restart_after(process, fault.duration_seconds)

    async def pause(self, process: RoleProcess, fault: PlannedFault) -> None:
        """Suspend a process for the duration of the fault."""
        async with process.lock:
            with recorded_fault(self.world.faults, 'paused', process.name):
                process.pause()
                await trio.sleep(fault.duration_seconds)
                process.resume()

    async def stop(self, process: RoleProcess, fault: PlannedFault) -> None:
        """Stop a process gracefully, and restart it."""
        async with process.lock:
            with recorded_fault(self.world.faults, 'stopped', process.name):
                if not await process.terminate():
                    self.world.ledger.record_violation(
                        'planned stops',
                        '',
                        f'{process.name} exceeded its grace period',
                    )
                await self.restart_after(process, fault.duration_seconds)

    async def wipe(self, process: RoleProcess, fault: PlannedFault) -> None:
        """Wipe the disk of a history, if the replica set tolerates it."""
        async with process.lock:
            if not self.can_wipe():
                return
            with recorded_fault(self.world.faults, 'wiped', process.name):
                self.wiped_disk = self.disk_of(process.name)
                await process.kill()
                process.wipe()
                await self.restart_after(process, fault.duration_seconds)

    async def restart_after(self, process: RoleProcess, seconds: float) -> None:
        """Restart a process, and give it time to become ready."""
        await trio.sleep(seconds)
        process.start()
        if process.node.role == 'entry':
            with trio.move_on_after(READY_SECONDS):
                await wait_ready(process)
        else:
            await trio.sleep(HISTORY_START_SECONDS)

    def can_wipe(self) -> bool:
        """Return whether the replica set has replaced the last wiped disk."""
        replica_set = self.world.replica_set()
        disks = {member['disk_id'] for member in replica_set['members']}
        complete = len(disks) >= MIN_HISTORIES and not replica_set['joining']
        return complete and self.wiped_disk not in disks

    def disk_of(self, name: str) -> str:
        """Return the disk of a VM in the replica set."""
        members = self.world.replica_set()['members']
        found = [
            member['disk_id'] for member in members if member['vm'] == name
        ]
        return found[0] if found else NO_DISK
