"""Decode the entries under which runners register in the store.

The platform calls runners servers, and their targets services.
"""

import json
import logging
from collections.abc import Mapping
from typing import Any

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.runners import Runner
from jasminewheel._internal.store.port import StoreItem
from jasminewheel.platform.configuration import DECODE_ERRORS

RUNNER_PREFIX = 'servers/'
_STATES = ('ready', 'draining')
_LOGGER = logging.getLogger(__name__)


def decode_runner(stored: StoreItem) -> Runner | None:
    """Return the runner of an entry, or None if it cannot be decoded."""
    try:
        return _runner(stored)
    except DECODE_ERRORS as error:
        events.RUNNER_SKIPPED.log(_LOGGER, key=stored.key, problem=repr(error))
        return None


def _runner(stored: StoreItem) -> Runner:
    fields = json.loads(stored.value)
    state = _typed(fields, 'State', str)
    if state not in _STATES:
        raise ValueError(f'unknown state {state!r}')
    address = _typed(fields, 'Address', str)
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'{address!r} is not of the form HOST:PORT')
    return Runner(
        runner_id=stored.key.removeprefix(RUNNER_PREFIX),
        target=_typed(fields, 'Service', str),
        address=address,
        zone=_typed(fields, 'Zone', str),
        draining=state == 'draining',
        slots=_typed(fields, 'Slots', int),
        started_ms=int(fields.get('born') or 0),
    )


def _typed(fields: Mapping[str, Any], name: str, kind: type) -> Any:
    found = fields[name]
    if not isinstance(found, kind) or isinstance(found, bool):
        raise TypeError(f'{name} has another type: {found!r}')
    return found
