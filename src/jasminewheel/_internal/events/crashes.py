"""Events 1910 to 1919: calls under which runners end."""

import logging

from jasminewheel._internal.events.event import Event

CRASHED = Event(
    1910,
    logging.WARNING,
    'connection of a runner broke off while it ran a call',
    remedy='see whether the runner ended; the same call may end others',
    state_change=True,
)
CLEARED = Event(
    1911,
    logging.INFO,
    'call was answered under which connections of runners had broken off',
)
NOT_EXCHANGED = Event(
    1912,
    logging.INFO,
    'replica did not answer about calls under which runners end',
    remedy='check the history at this address',
)
