"""Follow the platform's list of VMs, so that leaving runners get no work."""

import logging
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import urlsplit

import trio
from attrs import define, evolve, field, frozen

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.events import targets as events
from jasminewheel._internal.targets.connection import TargetConnection
from jasminewheel._internal.targets.failures import target_errors
from jasminewheel.errors import CallError
from jasminewheel.models.target import Runner, Target

_LOGGER = logging.getLogger(__name__)
_POLL_SECONDS = 1.0
_STALL_SECONDS = 5.0
_LEAVING = 'leaving'


@frozen
class ListedVm:
    """Hold one line of the list; address is `ip:port` or `ip`."""

    member: str
    address: str
    is_leaving: bool


@define
class LeavingVms:
    """Remember which VMs leave.

    The list lags and drops VMs that are gone, so one that was leaving counts
    as leaving until it is listed as live.
    """

    names: frozenset[str] = frozenset()

    def observe(self, vms: Iterable[ListedVm]) -> bool:
        """Take in a list; tell whether it changed anything."""
        names = set(self.names)
        for vm in vms:
            known = {vm.member, vm.address}
            names = names | known if vm.is_leaving else names - known
        changed = names != self.names
        self.names = frozenset(names)
        return changed

    def includes(self, runner: Runner) -> bool:
        """Tell whether a runner is on a VM that leaves."""
        place = urlsplit(runner.url)
        return not self.names.isdisjoint(
            (runner.name, place.netloc, place.hostname or ''),
        )


@define(eq=False)
class ServingConfiguration:
    """Give the configuration in force, with leaving runners draining."""

    view: ConfigurationView
    leaving: LeavingVms = field(factory=LeavingVms)
    base: Snapshot | None = None
    marked: Snapshot = field(factory=Snapshot)

    @property
    def current(self) -> Snapshot:
        """Return the newest snapshot, made anew only after a change."""
        if self.base is not self.view.current:
            self.base = self.view.current
            self.marked = self.mark(self.base)
        return self.marked

    def observe(self, vms: Iterable[ListedVm]) -> None:
        """Take in a list of VMs."""
        if self.leaving.observe(vms):
            names = sorted(self.leaving.names)
            events.VMS_LEAVING.log(_LOGGER, vms=','.join(names))
            self.base = None

    def mark(self, snapshot: Snapshot) -> Snapshot:
        """Return the snapshot with the runners that leave draining."""
        if not self.leaving.names:
            return snapshot
        targets = {
            name: self.mark_target(target)
            for name, target in snapshot.targets.items()
        }
        return evolve(snapshot, targets=targets)

    def mark_target(self, target: Target) -> Target:
        """Return the target itself unless a runner of it leaves."""
        if not any(map(self.leaving.includes, target.runners)):
            return target
        runners = tuple(
            evolve(runner, draining=True)
            if self.leaving.includes(runner)
            else runner
            for runner in target.runners
        )
        return evolve(target, runners=runners)


@define(eq=False)
class VmListFollower:
    """Read the list again and again."""

    url: str
    configuration: ServingConfiguration

    async def run(self) -> None:
        """Follow until cancelled; keep what is known while it is away."""
        async with TargetConnection(self.url, _STALL_SECONDS) as connection:
            while True:
                try:
                    self.configuration.observe(await read_vms(connection))
                except CallError as error:
                    events.VM_LIST_AWAY.log(_LOGGER, problem=error)
                await trio.sleep(_POLL_SECONDS)


async def read_vms(connection: TargetConnection) -> list[ListedVm]:
    """Return the list; raise TargetFailedError if it cannot be read."""
    listed = await connection.ask('GET', '/v1/vms')
    with target_errors(connection.url):
        return [_listed_vm(fields) for fields in listed]


def _listed_vm(fields: Mapping[str, Any]) -> ListedVm:
    return ListedVm(
        str(fields['member']),
        str(fields['address']),
        fields['state'] == _LEAVING,
    )
