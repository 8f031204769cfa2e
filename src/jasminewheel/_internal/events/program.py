"""Events 1200 to 1299: programs and their calls."""

import logging

from jasminewheel._internal.events.event import Event

SLOT_LOST = Event(
    1200,
    logging.WARNING,
    'slot lost to another entry',
    'nothing if this entry was paused or isolated; else use explain slot=N',
)
SLOT_ACQUIRED = Event(1201, logging.INFO, 'slot taken over')
SLOT_RELEASED = Event(1202, logging.INFO, 'slot released')
CALL_OUTCOME_UNKNOWN = Event(
    1203,
    logging.WARNING,
    'call of a lost owner has an unknown outcome; it may have run',
    'check the effect at the target before sending it again',
)
CALL_RESUMED = Event(1204, logging.INFO, 'call of a lost owner resumed')
CALL_FAULT = Event(
    1205, logging.ERROR, 'call failed unexpectedly', 'report the traceback'
)
RUNNER_FAILED = Event(
    1206,
    logging.WARNING,
    'runner failed a call',
    'check the runner; its breaker opens after consecutive failures',
)
PROGRAM_EXPIRED = Event(1207, logging.INFO, 'program ended by its deadline')
PROGRAM_DROPPED = Event(1208, logging.DEBUG, 'log of an ended program dropped')
OWNER_LOST = Event(
    1209,
    logging.WARNING,
    'owner failed or unreachable during an operation',
    "check whether the owner's VM runs; another entry takes over",
)
DRAINED = Event(1210, logging.INFO, 'all slots released')
