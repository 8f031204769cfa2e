"""Events 1600 to 1699: queueing, placement and circuit breakers."""

import logging

from jasminewheel._internal.events.event import Event

REFUSED_EARLY = Event(
    1600,
    logging.INFO,
    'call refused early; it has not run',
    'add runners or lower the load if this goes on',
)
BREAKER_OPENED = Event(
    1601,
    logging.WARNING,
    'runner failed calls in a row and is sent none for a while',
    'look at the runner; it is probed and taken back by itself',
)
BREAKER_CLOSED = Event(1602, logging.INFO, 'runner answers again')
RUNNER_REMOVED = Event(1603, logging.INFO, 'runner left the target')
FEED_BROKEN = Event(
    1604,
    logging.INFO,
    'feed of a runner broke; it is followed again',
    'look at the runner if this goes on',
)
DECIDED = Event(1605, logging.INFO, 'call placed, made to wait or refused')
PIN_REFUSED = Event(
    1606,
    logging.INFO,
    'engine did not keep or release a prefix; pins expire by themselves',
)
