"""Events 1400 to 1499: the operators' configuration."""

import logging

from jasminewheel._internal.events.event import Event

COMMITTED = Event(1400, logging.INFO, 'configuration committed to the store')
OUTCOME_UNKNOWN = Event(
    1401,
    logging.WARNING,
    'the reply to a commit was lost and its outcome is unknown',
    'apply the change again when the store answers',
)
PART_NOT_DELETED = Event(
    1402,
    logging.INFO,
    'an unused part of the configuration was not deleted from the store',
)
INSTALLED = Event(1403, logging.INFO, 'configuration in force')
OLDER_REFUSED = Event(
    1404,
    logging.WARNING,
    'older configuration refused',
    'check whether the store was restored from an old copy',
)
FETCH_FAILED = Event(
    1405,
    logging.WARNING,
    'configuration could not be fetched from a peer',
    'none at first: another peer is tried; see the problem if it persists',
)
PLACEMENT_CREATED = Event(1406, logging.INFO, 'replica sets written')
PLACEMENT_INSTALLED = Event(1407, logging.INFO, 'replica sets in force')
PLACEMENT_WAITS = Event(
    1408,
    logging.WARNING,
    'too few histories are live to form the first replica sets',
    'start jasminewheel-history on VMs with a disk',
)
