"""Events 1850 to 1869: the store that operators write to."""

import logging

from jasminewheel._internal.events.event import Event

LOST = Event(
    1850,
    logging.WARNING,
    'the store does not answer; what is known stays in force',
    'see whether the store runs and this VM reaches it',
    state_change=True,
)
BACK = Event(1851, logging.INFO, 'the store answers again', state_change=True)
HISTORY_LOST = Event(
    1852, logging.INFO, 'the store forgot changes; all keys are read anew'
)
LEASE_GRANTED = Event(1853, logging.INFO, 'lease granted for this process')
LEASE_LOST = Event(
    1854,
    logging.WARNING,
    'lease of this process not renewed',
    'see whether the store runs and this VM reaches it',
    state_change=True,
)
KNOWN_TAKEN = Event(
    1855,
    logging.INFO,
    'the store cannot be read; another process told its keys',
    state_change=True,
)
SETTLED = Event(
    1858,
    logging.INFO,
    'another process tells that keys which are missing are gone',
    state_change=True,
)
KNOWN_UNREADABLE = Event(
    1856,
    logging.WARNING,
    'the copy of the store on this disk cannot be read and is not used',
    'nothing; it is written anew when the store answers',
)
KNOWN_UNWRITTEN = Event(
    1857,
    logging.WARNING,
    'the copy of the store could not be written to this disk',
    'see whether the disk has room',
)
