"""Wire what an entry offers to operators."""

import time

import trio

from jasminewheel._internal.entry.settings import EntrySettings
from jasminewheel._internal.entry.surroundings import Surroundings
from jasminewheel._internal.http.operator_side import OperatorSide
from jasminewheel._internal.observability.event_ring import keep_events
from jasminewheel._internal.operations.member import MemberOperations


def open_operators(
    settings: EntrySettings, around: Surroundings, stop: trio.Event
) -> OperatorSide:
    """Return the operators' side; a drain request sets stop."""
    member = MemberOperations(
        around.fleet, keep_events(), time.time(), drain=stop.set
    )
    return OperatorSide.open(
        around.fleet, around.pool, member, settings.operator_keys
    )
