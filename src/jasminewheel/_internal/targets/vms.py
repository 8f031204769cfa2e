"""Poll the platform's list of VMs, and drain runners on VMs that leave."""

import logging
from collections.abc import Iterable
from urllib.parse import urlsplit

import trio
from attrs import define, evolve, field

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.events import targets as events
from jasminewheel._internal.membership.vm_list import ListedVm, VmList
from jasminewheel.errors import UnavailableError
from jasminewheel.models.target import Runner, Target

_LOGGER = logging.getLogger(__name__)
_POLL_INTERVAL_SECONDS = 1.0


@define
class LeavingVms:
    """Track the names and addresses of VMs that leave.

    The list is delayed and omits VMs that are gone, so a leaving VM counts as
    leaving until it is listed as live.
    """

    names: frozenset[str] = frozenset()

    def update(self, vms: Iterable[ListedVm]) -> bool:
        """Apply a list of VMs; return whether the leaving VMs changed."""
        names = set(self.names)
        for vm in vms:
            aliases = {vm.member, vm.address}
            names = names | aliases if vm.leaving else names - aliases
        changed = names != self.names
        self.names = frozenset(names)
        return changed

    def includes(self, runner: Runner) -> bool:
        """Return whether a runner is on a leaving VM."""
        url = urlsplit(runner.url)
        return not self.names.isdisjoint(
            (runner.name, url.netloc, url.hostname or ''),
        )


@define(eq=False)
class ServingConfiguration:
    """Provide the configuration in force, with leaving runners draining."""

    view: ConfigurationView
    leaving: LeavingVms = field(factory=LeavingVms)
    source: Snapshot | None = None
    effective: Snapshot = field(factory=Snapshot)

    @property
    def current(self) -> Snapshot:
        """Return the newest snapshot, which is rebuilt only after a change."""
        if self.source is not self.view.current:
            self.source = self.view.current
            self.effective = self.with_draining_runners(self.source)
        return self.effective

    def update(self, vms: Iterable[ListedVm]) -> None:
        """Apply a list of VMs; log a change of those that leave."""
        if self.leaving.update(vms):
            names = sorted(self.leaving.names)
            events.VMS_LEAVING.log(_LOGGER, vms=','.join(names))
            self.source = None

    def with_draining_runners(self, snapshot: Snapshot) -> Snapshot:
        """Return the snapshot with runners on leaving VMs draining."""
        if not self.leaving.names:
            return snapshot
        targets = {
            name: self.drain_target_runners(target)
            for name, target in snapshot.targets.items()
        }
        return evolve(snapshot, targets=targets)

    def drain_target_runners(self, target: Target) -> Target:
        """Return the target with its leaving runners draining.

        A target without leaving runners is returned itself.
        """
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
class VmListPoller:
    """Poll the list of VMs."""

    vms: VmList
    configuration: ServingConfiguration

    async def run(self) -> None:
        """Poll until cancelled; keep the last list if polling fails."""
        while True:
            try:
                self.configuration.update(await self.vms.rows())
            except UnavailableError as error:
                events.VM_LIST_UNAVAILABLE.log(_LOGGER, problem=error)
            await trio.sleep(_POLL_INTERVAL_SECONDS)
