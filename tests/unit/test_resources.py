"""Check resources and the validation of operators' documents."""

from types import MappingProxyType

import pytest

from jasminewheel._internal.configuration.documents import (
    parse_document,
    parse_spec,
    resource_document,
    spec_document,
    stored_resource,
)
from jasminewheel._internal.configuration.references import check_references
from jasminewheel._internal.configuration.snapshot import Snapshot, hash_key
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.settings.problems import FieldProblem
from jasminewheel.errors import InvalidResourceError
from jasminewheel.models.caller import Budget, Caller, KeyHash
from jasminewheel.models.model import Model
from jasminewheel.models.resource import Resource, ResourceKey, ResourceKind
from jasminewheel.models.target import Runner, Target

CALLER = MappingProxyType(
    {
        'priority': 9,
        'key_hashes': [{'sha256': hash_key('k1'), 'expires_at': 50.0}],
        'budget': {'tokens': 1000, 'window_seconds': 60},
        'targets': ['helper'],
    }
)


def caller(**spec) -> Caller:
    """Return a caller from a document."""
    raw = {'kind': 'caller', 'name': 'clerk', 'spec': {**CALLER, **spec}}
    return parse_spec(parse_document(raw, 'resources[0]'), 'resources[0]')


def refused(**spec) -> tuple[FieldProblem, ...]:
    """Return the problems of a caller's document."""
    try:
        caller(**spec)
    except InvalidResourceError as error:
        return error.problems
    return ()


def test_document_round_trip():
    """A stored resource is read back as it was accepted."""
    accepted = Resource(ResourceKind.caller, caller(), 7)
    document = resource_document(accepted)
    assert stored_resource(ResourceKind.caller, 'clerk', document) == accepted
    assert document['spec']['budget'] == {'tokens': 1000, 'window_seconds': 60}


def test_every_wrong_field_is_named():
    """One error lists all wrong fields by their paths."""
    problems = refused(
        priority=10,
        budget={'tokens': 'many'},
        targets=['Upper Case'],
        colour='red',
    )
    paths = {problem.path for problem in problems}
    assert {
        'resources[0].spec.priority',
        'resources[0].spec.budget.tokens',
        'resources[0].spec.targets[0]',
    } <= paths
    assert 'unknown field colour' in ' '.join(map(str, problems))


@pytest.mark.parametrize('targets', ['desk', {'desk': 1}, None])
def test_only_a_list_is_a_list(targets):
    """A text is refused as a list, not split into its characters."""
    assert [one.path for one in refused(targets=targets)] == [
        'resources[0].spec.targets',
    ]


@pytest.mark.parametrize(
    'raw',
    [
        [],
        'text',
        {'kind': 'robot', 'name': 'a', 'spec': {}},
        {'kind': 'caller', 'name': '../a', 'spec': {}},
        {'kind': 'caller', 'name': 'a', 'spec': []},
        {'kind': 'caller', 'name': 'a' * 64, 'spec': {}},
    ],
)
def test_wrong_documents_are_refused(raw):
    """A document of another structure is refused."""
    with pytest.raises(InvalidResourceError):
        parse_document(raw, '')


def test_fields_of_newer_releases_are_read():
    """A part written by a newer release can be read during an upgrade."""
    entry = {'spec': {**CALLER, 'tier': 'gold'}, 'version': 3}
    assert stored_resource(ResourceKind.caller, 'clerk', entry).version == 3


def test_references():
    """A caller's targets, a target's model and adapters have to exist."""
    runner = Runner('r1', 'http://127.0.0.1:1', 'east-mids', 'brum-a')
    target = Target(
        'helper',
        'model',
        (runner, runner),
        model='m',
        adapters=('x',),
    )
    snapshot = Snapshot(
        1,
        {
            'clerk': caller(targets=['helper', 'gone']),
            'twin': Caller('twin', (KeyHash(hash_key('k1')),), Budget(1), ()),
        },
        {'helper': target},
        {'m': Model('m')},
    )
    changed = [
        ResourceKey('caller', 'clerk'),
        ResourceKey('caller', 'twin'),
        ResourceKey('target', 'helper'),
    ]
    found = {
        one.path for one in check_references(Snapshot(), snapshot, changed)
    }
    assert found == {
        'caller/clerk.spec.targets[1]',
        'caller/twin.spec.key_hashes[0]',
        'target/helper.spec.runners[0].name',
        'target/helper.spec.runners[1].name',
        'target/helper.spec.adapters[0]',
    }


def test_a_deleted_target_is_missed_by_its_callers():
    """A target cannot be deleted while a caller references it."""
    snapshot = Snapshot(2, {'clerk': caller()}, {}, {})
    changed = [ResourceKey('target', 'helper')]
    assert check_references(Snapshot(), snapshot, changed)


def test_keys_expire():
    """A key is refused from its expiry on, and so are unknown keys."""
    snapshot = Snapshot(1, {'clerk': caller()})
    assert snapshot.caller_by_key('k1', 49).name == 'clerk'
    assert snapshot.caller_by_key('k1', 50) is None
    assert snapshot.caller_by_key('k2', 1) is None


def test_view_never_goes_back():
    """An older or equal version is refused."""
    view = ConfigurationView()
    assert view.install(Snapshot(2))
    assert not view.install(Snapshot(1))
    assert not view.install(Snapshot(2))
    assert view.current.version == 2


def test_specs_leave_out_defaults():
    """A specification omits fields that have their defaults."""
    assert 'max_turns' not in spec_document(caller())
