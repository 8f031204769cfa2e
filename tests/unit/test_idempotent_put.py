"""Check that writes with lost answers take effect at most once."""

import pytest
import trio
from memory_store import MemoryStore

from jasminewheel._internal.store.idempotent_put import idempotent_put
from jasminewheel.errors import StoreConflictError, StoreUnavailableError


async def put_with_faults(faults, between=None):
    """Write to a store with faults; return the store and the revision."""
    store = MemoryStore(faults=faults)
    if between:
        store.state.put('key', between, None, None)
    return store, await idempotent_put(store, 'key', 'mark-1', 0)


@pytest.mark.parametrize(
    'faults',
    [[], ['lost'], ['down'], ['down', 'lost'], ['lost', 'down']],
)
def test_takes_effect_once(faults):
    """The value is written once, whichever answers are lost."""
    store, revision = trio.run(put_with_faults, faults)
    assert store.state.items['key'].value == 'mark-1'
    assert revision == store.state.revision == 1


def test_conflict_is_certain():
    """A conflict at the first attempt means that it had no effect."""
    with pytest.raises(StoreConflictError):
        trio.run(put_with_faults, [], 'other')


@pytest.mark.parametrize('faults', [['down'], ['lost']])
def test_overwritten_meanwhile(faults):
    """If the key changed after a lost answer, the outcome is unknown."""
    with pytest.raises(StoreUnavailableError):
        trio.run(put_with_faults, faults, 'other')


def test_outage():
    """An outage is reported after a bounded number of attempts."""
    with pytest.raises(StoreUnavailableError):
        trio.run(put_with_faults, ['down', 'down', 'down'])
