"""Events 1150 to 1199: ownership of slots and changes of replica sets."""

import logging

from jasminewheel._internal.events.event import Event

SLOT_SEALED = Event(1150, logging.INFO, 'slot taken over')
