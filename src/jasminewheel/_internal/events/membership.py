"""Events 1500 to 1599: members and their heartbeats."""

import logging

from jasminewheel._internal.events.event import Event

JOINED = Event(1500, logging.INFO, 'member joined')
SUSPECTED = Event(
    1501,
    logging.WARNING,
    'member does not answer',
    'see whether its VM runs and can be reached',
)
REFUTED = Event(1502, logging.INFO, 'suspicion of this member refuted')
DIED = Event(
    1503,
    logging.WARNING,
    'member is dead',
    'replace the VM; its slots go to others by themselves',
)
LEAVING = Event(1504, logging.INFO, 'member is leaving')
LEFT = Event(1505, logging.INFO, 'member left')
PAUSED = Event(
    1506,
    logging.WARNING,
    'this process was paused',
    'see whether its VM lacks processor time',
)
LEASE_FAILED = Event(
    1507,
    logging.WARNING,
    'the lease of this VM was not renewed',
    'see whether the key-value service answers',
)
LEASED = Event(1508, logging.INFO, 'lease granted')
NO_PEERS = Event(
    1509,
    logging.WARNING,
    'no peer answers',
    'see the addresses in settings.peers',
)
HINT_FAILED = Event(
    1510,
    logging.INFO,
    'the list of VMs could not be read',
)
SUPERSEDED = Event(
    1511,
    logging.ERROR,
    'another process has the name of this member',
    'stop this process or give it a name of its own',
)
STORE_UNREADABLE = Event(
    1512,
    logging.WARNING,
    'the store does not give a key that this member follows',
    'see whether the key-value service answers',
)
