"""Check how operators' configurations are decoded."""

import json
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as some

from jasminewheel._internal.gateway.routes import CallKind
from jasminewheel.errors import ConfigurationError
from jasminewheel.platform.configuration import decode_configuration

ROUTE = MappingProxyType(
    {
        'Name': 'r',
        'Host': 'H.example',
        'Prefix': '/a/',
        'Kind': 'safe',
        'TimeoutMs': 1500,
        'TargetLatencyMs': 300,
        'Service': 'desk',
    }
)
JSON = some.recursive(
    some.none() | some.booleans() | some.integers() | some.text(max_size=5),
    lambda inner: (
        some.lists(inner, max_size=3)
        | some.dictionaries(some.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def _decode(*routes):
    routes = [dict(route) for route in routes]
    fields = {'Version': 3, 'Routes': routes, 'Services': [{'Name': 'desk'}]}
    return decode_configuration(json.dumps(fields).encode())


def test_longest_prefix_wins():
    """The host's route with the longest matching prefix is chosen."""
    longer = {**ROUTE, 'Name': 'longer', 'Prefix': '/a/b/'}
    table = _decode(ROUTE, longer)
    assert table.match('h.example', '/a/b/c').name == 'longer'
    assert table.match('h.example', '/a/c').name == 'r'
    assert table.match('h.example', '/b/') is None
    assert table.match('other', '/a/') is None


def test_shares_follow_their_weights():
    """A route's programs are split by weight."""
    split = [
        {'Service': 'one', 'Weight': 90},
        {'Service': 'two', 'Weight': 10},
    ]
    fields = {**ROUTE, 'TrafficSplit': split}
    route = _decode(fields).routes[0]
    assert route.target_for(0.89) == 'one'
    assert route.target_for(0.91) == 'two'


def test_unknown_kind_is_treated_as_the_strictest():
    """Calls of an unknown kind are never retried."""
    route = _decode({**ROUTE, 'Kind': 'new'}).routes[0]
    assert route.kind is CallKind.unsafe


def test_broken_route_does_not_take_the_others_along():
    """A route that cannot be decoded is left out; the others stay."""
    table = _decode({**ROUTE, 'TimeoutMs': 'soon'}, ROUTE, {'Name': 'x'})
    assert [route.name for route in table.routes] == ['r']


@given(JSON)
def test_other_shapes_are_refused(fields):
    """JSON of any other shape raises ConfigurationError and nothing else."""
    with pytest.raises(ConfigurationError):
        decode_configuration(json.dumps(fields).encode())
