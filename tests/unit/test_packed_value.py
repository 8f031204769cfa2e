"""Check values that are told by what changed in them."""

import pytest

from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.packed_value import pack, unpack
from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import PeerError

KEY = 'op/config'
# Both ends differ from version to version, so only a base tells the middle.
MIDDLE = bytes(range(256)) * 64


def _version(number: int) -> StoreItem:
    stored = b'%d%b%d' % (number, MIDDLE, number)
    return StoreItem(KEY, stored, number)


def _holding(*numbers: int, max_versions: int = 4) -> LargeValues:
    values = LargeValues(max_versions)
    for number in numbers:
        values.items_changed({KEY: _version(number)}, frozenset((KEY,)))
    return values


def test_change_of_a_held_value_takes_few_bytes():
    """The asker unpacks it from the version that it holds."""
    reader, asker = _holding(1, 2, 3), _holding(2)
    sent = reader.to_wire([_version(3)], asker.held())
    assert len(sent[0].packed) < 100
    assert asker.from_wire(sent) == (_version(3),)


@pytest.mark.parametrize('held', [(), (7,)])
def test_value_is_packed_alone_without_a_shared_version(held):
    """An asker that holds none, or one that the reader never had."""
    reader, asker = _holding(1, 2, 3), _holding(*held)
    sent = reader.to_wire([_version(3)], asker.held())
    assert asker.from_wire(sent) == (_version(3),)


def test_asker_of_an_older_build_gets_whole_values():
    """It does not tell what it holds."""
    sent = _holding(1).to_wire([_version(1)], None)
    assert sent[0].value == _version(1).value
    assert sent[0].packed is None


def test_small_values_are_sent_as_they_are():
    """Packing them would gain nothing."""
    small = StoreItem('a', b'1', 1)
    assert LargeValues().to_wire([small], [])[0].value == b'1'


def test_removed_value_is_forgotten():
    """Nobody asks for its changes."""
    values = _holding(1)
    values.items_changed({}, frozenset((KEY,)))
    assert not values.held()


@pytest.mark.parametrize(
    'packed', [b'', b'junk', pack(MIDDLE)[:-3], pack(MIDDLE, MIDDLE)]
)
def test_unreadable_value_is_an_error(packed):
    """A peer may send anything."""
    with pytest.raises(PeerError):
        unpack(packed)


def test_value_that_unpacks_to_too_much_is_an_error():
    """It is refused before it is unpacked."""
    with pytest.raises(PeerError):
        unpack(pack(bytes(17000000)))


def test_base_that_is_not_held_is_an_error():
    """A reader that answers so is passed over."""
    sent = wire.KnownItem(key=KEY, revision=3, packed=b'', base_revision=9)
    with pytest.raises(PeerError):
        _holding(1).from_wire([sent])
