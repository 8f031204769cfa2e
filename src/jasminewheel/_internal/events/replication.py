"""Events 1150 to 1199: ownership of slots and changes of replica sets."""

import logging

from jasminewheel._internal.events.event import Event

SLOT_SEALED = Event(1150, logging.INFO, 'slot taken over')
CHANGE_BEGUN = Event(1151, logging.INFO, 'change of replica sets begun')
CHANGE_COPYING = Event(1152, logging.INFO, 'copying slots to new replicas')
CHANGE_FINISHED = Event(1153, logging.INFO, 'change of replica sets finished')
CHANGE_RETRIED = Event(
    1154,
    logging.WARNING,
    'change of replica sets failed and will be retried',
    'check the history processes and the key-value service',
)
SLOT_MOVED = Event(1155, logging.INFO, 'slot moved to a new placement')
SLOT_NOT_MOVED = Event(
    1156,
    logging.WARNING,
    'slot not moved to a new placement yet',
    'check the history processes of the new sets',
)
