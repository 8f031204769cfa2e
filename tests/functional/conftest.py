"""Provide a fleet of processes to the functional tests."""

import pytest
from process_fleet import running_fleet


@pytest.fixture(scope='session')
def shared_fleet(tmp_path_factory):
    """Run one fleet for the tests that do not change it."""
    with running_fleet(tmp_path_factory.mktemp('fleet')) as running:
        yield running
