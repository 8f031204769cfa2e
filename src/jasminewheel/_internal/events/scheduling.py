"""Events 1600 to 1699: queueing, placement and circuit breakers."""

import logging

from jasminewheel._internal.events.event import Event

REFUSED_EARLY = Event(
    1600,
    logging.INFO,
    'call refused before it ran',
    'add runners or lower the load if this persists',
)
BREAKER_OPENED = Event(
    1601,
    logging.WARNING,
    'circuit breaker opened after consecutive failed calls to a runner',
    'check the runner; it is probed and used again once it answers',
)
BREAKER_CLOSED = Event(
    1602, logging.INFO, 'circuit breaker closed; the runner answers again'
)
RUNNER_REMOVED = Event(1603, logging.INFO, 'runner removed from its target')
FEED_BROKEN = Event(
    1604,
    logging.INFO,
    'feed of a runner was interrupted; reconnecting',
    'check the runner if this persists',
)
DECIDED = Event(1605, logging.INFO, 'call placed, queued or refused')
PIN_REFUSED = Event(
    1606,
    logging.INFO,
    'engine failed to pin or unpin a prefix; pins expire on their own',
)
