"""Events 1900 to 1909: organisations and the rates of their calls."""

import logging

from jasminewheel._internal.events.event import Event

LIMITER_FAILED = Event(
    1900,
    logging.INFO,
    'process that limits calls did not answer; others are asked',
    remedy='check the history at this address',
)
RATES_SKIPPED = Event(
    1902,
    logging.ERROR,
    'unreadable configuration; the former rates stay in force',
    remedy='write the configuration again',
)
RATES_ADOPTED = Event(
    1901,
    logging.INFO,
    'rates of organisations applied',
    state_change=True,
)
