"""Events 1000 to 1099: start and stop of a process."""

import logging

from jasminewheel._internal.events.event import Event

STARTED = Event(1000, logging.INFO, 'process is serving', state_change=True)
STOPPING = Event(
    1001, logging.INFO, 'stop requested; finishing requests', state_change=True
)
STOPPED = Event(1002, logging.INFO, 'process stopped')
SETTINGS_REFUSED = Event(
    1003,
    logging.ERROR,
    'settings refused',
    'correct the fields named in the message',
)
RELOADED = Event(
    1004, logging.INFO, 'reload requested; the settings in force stay'
)
