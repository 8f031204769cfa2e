"""Fuzz the parsing of resources and of the configuration root."""

from hypothesis import given
from hypothesis import strategies as st

from jasminewheel._internal.configuration.documents import (
    resource_document,
    stored_resource,
)
from jasminewheel._internal.configuration.root import read_root
from jasminewheel._internal.operations.resources import read_changes
from jasminewheel.errors import ConfigurationError, InvalidResourceError
from jasminewheel.models.resource import Resource, ResourceKind

KINDS = tuple(kind.value for kind in ResourceKind)
FIELDS = (
    'kind',
    'name',
    'spec',
    'version',
    'priority',
    'budget',
    'tokens',
    'window_seconds',
    'key_hashes',
    'targets',
    'runners',
    'operations',
    'model',
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(KINDS)
)
BODIES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(FIELDS), inner, max_size=4)
    ),
    max_leaves=12,
)
DOCUMENTS = st.fixed_dictionaries(
    {'kind': st.sampled_from(KINDS), 'name': st.just('a'), 'spec': BODIES},
)


@given(st.lists(DOCUMENTS | BODIES, max_size=3) | BODIES)
def test_read_changes_refuses_or_accepts(documents):
    """Any JSON is either refused with problems listed or round-trips."""
    try:
        changes = read_changes(documents)
    except InvalidResourceError as error:
        assert error.problems
        return
    for change in changes:
        kind = ResourceKind(change.key.kind)
        document = resource_document(Resource(kind, change.spec, 1))
        stored = stored_resource(kind, change.key.name, document)
        assert stored.spec == change.spec


@given(st.text())
def test_any_text_for_a_root(text):
    """Text that is not a root raises ConfigurationError."""
    try:
        read_root(text)
    except ConfigurationError:
        return
    raise AssertionError('random text was accepted as a root')
