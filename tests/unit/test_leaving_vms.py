"""Check which runners are drained because their VM leaves."""

import pytest

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.membership.vm_list import ListedVm
from jasminewheel._internal.targets.vms import (
    LeavingVms,
    ServingConfiguration,
)
from jasminewheel.models.target import Runner, Target

RUNNER = Runner('sack-1', 'http://10.0.0.7:8000', 'bagmati', 'teku')
OTHER = Runner('sack-2', 'http://10.0.0.70:8000', 'bagmati', 'balaju')


@pytest.mark.parametrize('address', ['10.0.0.7:8000', '10.0.0.7'])
def test_runner_is_matched_by_address(address):
    """A VM matches runners at its address, not at one that starts alike."""
    leaving = LeavingVms()
    assert leaving.update([ListedVm('vm-9', address, True)])
    assert leaving.includes(RUNNER)
    assert not leaving.includes(OTHER)


def test_vm_missing_from_the_list_still_counts_as_leaving():
    """A leaving VM that is no longer listed leaves until listed as live."""
    leaving = LeavingVms()
    leaving.update([ListedVm('sack-1', '10.0.0.7', True)])
    assert not leaving.update([])
    assert leaving.includes(RUNNER)
    assert leaving.update([ListedVm('sack-1', '10.0.0.7', False)])
    assert not leaving.includes(RUNNER)


def test_runners_on_leaving_vms_are_draining():
    """Only the target of a leaving runner is rebuilt, and only once."""
    yard = Target('yard', 'service', (OTHER,))
    sacks = Target('sacks', 'model', (RUNNER, OTHER))
    view = ConfigurationView(
        Snapshot(1, targets={'yard': yard, 'sacks': sacks}),
    )
    serving = ServingConfiguration(view)
    assert serving.current is view.current
    serving.update([ListedVm('vm-9', '10.0.0.7', True)])
    effective = serving.current
    assert effective.targets['yard'] is yard
    assert effective.targets['sacks'].serving_runners() == (OTHER,)
    serving.update([ListedVm('vm-9', '10.0.0.7', True)])
    assert serving.current is effective
    view.install(Snapshot(2, targets={'sacks': sacks}))
    assert serving.current.targets['sacks'].serving_runners() == (OTHER,)
