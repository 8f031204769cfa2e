"""Check that one odd entry in the store costs that entry, nothing else."""

import json
import logging
from types import MappingProxyType

import pytest
import trio

from jasminewheel._internal.conversation.entry_list import (
    ENTRY_PREFIX,
    EntryList,
)
from jasminewheel._internal.conversation.set_listener import (
    DISK_PREFIX,
    SET_KEY,
    SetListener,
)
from jasminewheel._internal.gateway.gateway import RoutesHolder
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.port import StoreItem
from jasminewheel.platform.listener import PlatformListener

RUNNER = MappingProxyType(
    {
        'Service': 'desk',
        'Address': '10.0.0.1:80',
        'Zone': 'a',
        'Slots': 6,
        'State': 'ready',
        'born': 1,
    }
)
NESTED = b''.join((b'[' * 100000, b']' * 100000))
# Below the depth that the parser refuses.
SHALLOW = b''.join((b'[' * 900, b']' * 900))
MAX_LOG_CHARACTERS = 1000
ODD_DOCUMENTS = (
    NESTED,
    b'{"State": "ready", "Address": %b}' % SHALLOW,
    b'',
    b'\xff\xfe\x00',
    b'null',
    b'[]',
    b'7',
    b'"%b"' % (b'x' * 1000000),
)


def _runner(text: str = '', **fields) -> bytes:
    """Return an entry; the text replaces the number of slots."""
    stored = json.dumps({**RUNNER, **fields})
    return stored.replace(': 6', f': {text}' if text else ': 6').encode()


ODD_RUNNERS = (
    *ODD_DOCUMENTS,
    _runner('1e999'),
    _runner('NaN'),
    _runner('9' * 3000),
    _runner('9' * 5000),
    _runner('true'),
    _runner(Slots=0),
    _runner(Slots=-1),
    _runner(Slots=2.5),
    _runner(born=-1),
    _runner(born='1'),
    _runner(born=1.5),
    _runner(born=[]),
    _runner().replace(b'"born": 1', b'"born": 1e999'),
    _runner().replace(b'"born": 1', b'"born": %b' % (b'9' * 3000)),
    _runner(Address='10.0.0.1:99999'),
    _runner(Address='10.0.0.1:0'),
    _runner(Address='10.0.0.1:-1'),
    _runner(Address='10.0.0.1:\u0661'),
    _runner(Address='10.0.0.1:'.ljust(5000, '9')),
    _runner(Address='10.0.\0.1:80'),
    _runner(Address='10.0.0.1\r\nX: 1:80'),
    _runner(Address=':80'),
    _runner(Address=7),
    _runner(Service='\ud800'),
    _runner(Service=None),
    _runner(Zone={}),
    _runner(Zone='\udfff'),
    _runner(State='leaving'),
    _runner(State=['ready']),
)


def _apply(listener, *stored: tuple[str, bytes]) -> None:
    """Apply items as a process does when it reads them."""

    async def apply() -> None:
        mirror = StoreMirror(None, [listener])
        items = [
            StoreItem(key, text, number)
            for number, (key, text) in enumerate(stored)
        ]
        mirror.apply_snapshot(items, len(items))

    trio.run(apply)


def _check_log(caplog) -> None:
    assert len(caplog.records) == 1
    assert len(caplog.records[0].getMessage()) < MAX_LOG_CHARACTERS


@pytest.mark.parametrize('odd', ODD_RUNNERS)
def test_odd_runner_is_skipped_alone(odd, caplog):
    """Guard against LOST: processes ended at one odd entry, again and again."""
    caplog.set_level(logging.WARNING)
    directory = RunnerDirectory()
    listener = PlatformListener(RoutesHolder(), directory, None)
    _apply(
        listener,
        ('servers/a', _runner()),
        ('servers/odd', odd),
        ('servers/z', _runner()),
    )
    assert set(directory.views) == {'a', 'z'}
    _check_log(caplog)


@pytest.mark.parametrize('name', ['', 'a b', 'a\r\nX: 1', '\ud800', 'é'])
def test_runner_whose_name_cannot_be_sent_is_skipped(name):
    """The name goes into a header field of each call."""
    directory = RunnerDirectory()
    listener = PlatformListener(RoutesHolder(), directory, None)
    _apply(listener, (f'servers/{name}', _runner()))
    assert not directory.views


def test_runner_that_turns_odd_is_used_no_more():
    """Its entry names no runner to use."""
    directory = RunnerDirectory()
    listener = PlatformListener(RoutesHolder(), directory, None)
    _apply(listener, ('servers/a', _runner()))
    _apply(listener, ('servers/a', NESTED))
    assert not directory.views


@pytest.mark.parametrize(
    'odd',
    [
        *ODD_DOCUMENTS,
        b'{"vm": 7, "address": "10.0.0.1:1", "zone": "a"}',
        b'{"vm": "odd", "address": "10.0.0.1:1", "zone": []}',
    ],
)
def test_odd_entry_is_skipped_alone(odd, caplog):
    """Entries are sorted by their zones and names."""
    good = b'{"vm": "good", "address": "10.0.0.1:1", "zone": "a"}'
    entries = EntryList('own', {'a': 0}.__getitem__)
    _apply(entries, (f'{ENTRY_PREFIX}good', good), (f'{ENTRY_PREFIX}odd', odd))
    assert [one.vm for one in entries.nearest_first()] == ['good']
    _check_log(caplog)


@pytest.mark.parametrize('odd', ODD_DOCUMENTS)
@pytest.mark.parametrize('key', [SET_KEY, f'{DISK_PREFIX}odd'])
def test_odd_replica_set_or_disk_is_skipped(key, odd, caplog):
    """The set in force stays."""
    listener = SetListener()
    _apply(listener, (key, odd))
    assert not listener.holder.current.revision
    assert not listener.candidates
    _check_log(caplog)


@pytest.mark.parametrize('odd', ODD_DOCUMENTS)
def test_odd_configuration_is_skipped(odd, caplog):
    """The configuration in force stays."""
    listener = PlatformListener(RoutesHolder(), RunnerDirectory(), None)
    _apply(listener, ('op/config', odd))
    assert not listener.routes.current.version
    _check_log(caplog)
