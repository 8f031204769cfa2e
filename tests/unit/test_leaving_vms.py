"""Check which runners count as leaving."""

import pytest

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.targets.vms import (
    LeavingVms,
    ListedVm,
    ServingConfiguration,
)
from jasminewheel.models.target import Runner, Target

RUNNER = Runner('sack-1', 'http://10.0.0.7:8000', 'bagmati', 'teku')
OTHER = Runner('sack-2', 'http://10.0.0.70:8000', 'bagmati', 'balaju')


@pytest.mark.parametrize('address', ['10.0.0.7:8000', '10.0.0.7'])
def test_by_address(address):
    """A VM covers the runners at its address, not those alike."""
    leaving = LeavingVms()
    assert leaving.observe([ListedVm('vm-9', address, True)])
    assert leaving.includes(RUNNER)
    assert not leaving.includes(OTHER)


def test_gone_from_the_list():
    """A VM that was leaving leaves until it is listed as live."""
    leaving = LeavingVms()
    leaving.observe([ListedVm('sack-1', '10.0.0.7', True)])
    assert not leaving.observe([])
    assert leaving.includes(RUNNER)
    assert leaving.observe([ListedVm('sack-1', '10.0.0.7', False)])
    assert not leaving.includes(RUNNER)


def test_configuration_is_marked():
    """Only the target of a leaving runner is made anew, and only once."""
    yard = Target('yard', 'service', (OTHER,))
    sacks = Target('sacks', 'model', (RUNNER, OTHER))
    view = ConfigurationView(
        Snapshot(1, targets={'yard': yard, 'sacks': sacks}),
    )
    serving = ServingConfiguration(view)
    assert serving.current is view.current
    serving.observe([ListedVm('vm-9', '10.0.0.7', True)])
    marked = serving.current
    assert marked.targets['yard'] is yard
    assert marked.targets['sacks'].serving_runners() == (OTHER,)
    serving.observe([ListedVm('vm-9', '10.0.0.7', True)])
    assert serving.current is marked
    view.install(Snapshot(2, targets={'sacks': sacks}))
    assert serving.current.targets['sacks'].serving_runners() == (OTHER,)
