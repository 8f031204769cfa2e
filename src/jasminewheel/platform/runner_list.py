"""Decode the entries under which runners register in the store.

The platform calls runners servers, and their targets services.
"""

import logging
from collections.abc import Mapping
from typing import Any

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.runners import Runner
from jasminewheel._internal.store.documents import (
    DECODE_ERRORS,
    decode_document,
    problem_text,
    shortened,
    text_field,
    typed_field,
)
from jasminewheel._internal.store.port import StoreItem

RUNNER_PREFIX = 'servers/'
MAX_PORT = 65535
_STATES = ('ready', 'draining')
_LOGGER = logging.getLogger(__name__)


def decode_runner(stored: StoreItem) -> Runner | None:
    """Return the runner of an entry, or None if it cannot be decoded."""
    try:
        return _runner(stored)
    except DECODE_ERRORS as error:
        events.RUNNER_SKIPPED.log(
            _LOGGER, key=shortened(stored.key), problem=problem_text(error)
        )
        return None


def _runner(stored: StoreItem) -> Runner:
    fields = decode_document(stored.value)
    state = typed_field(fields, 'State', str)
    if state not in _STATES:
        raise ValueError(f'unknown state {shortened(state)}')
    return Runner(
        runner_id=_checked_id(stored.key.removeprefix(RUNNER_PREFIX)),
        target=text_field(fields, 'Service'),
        address=_checked_address(text_field(fields, 'Address')),
        zone=text_field(fields, 'Zone'),
        draining=state == 'draining',
        slots=_at_least(1, fields, 'Slots'),
        started_ms=_at_least(0, {'born': 0, **fields}, 'born'),
    )


def _checked_id(runner_id: str) -> str:
    """Return the identifier if it can be sent as a header field."""
    if not _is_printable_word(runner_id):
        raise ValueError(f'{shortened(runner_id)} is no identifier')
    return runner_id


def _checked_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not _is_printable_word(host) or not is_number:
        raise ValueError(f'{shortened(address)} is not of the form HOST:PORT')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{shortened(address)} has a port out of range')
    return address


def _is_printable_word(text: str) -> bool:
    printable = text.isascii() and text.isprintable()
    return bool(text) and printable and ' ' not in text


def _at_least(least: int, fields: Mapping[str, Any], name: str) -> int:
    found: int = typed_field(fields, name, int)
    if found < least:
        raise ValueError(f'{name} is {found}, at least {least} is expected')
    return found
