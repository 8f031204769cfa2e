"""Run the stand-in for the list of VMs."""

from jasminewheel._internal.fakes.vms import FakeVms, FakeVmsSettings
from jasminewheel.cli.stand_in import StandInCli

main = StandInCli(
    'jasminewheel-fake-vms',
    'Stand in for the list of VMs.',
    FakeVmsSettings,
    FakeVms,
).main
