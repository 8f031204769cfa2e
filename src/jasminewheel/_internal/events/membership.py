"""Events 1500 to 1599: members and their heartbeats."""

import logging

from jasminewheel._internal.events.event import Event

JOINED = Event(1500, logging.INFO, 'member joined')
SUSPECTED = Event(
    1501,
    logging.WARNING,
    'member does not answer',
    'check that its VM is running and reachable',
)
REFUTED = Event(1502, logging.INFO, 'suspicion of this member refuted')
DIED = Event(
    1503,
    logging.WARNING,
    'member declared dead',
    'replace the VM; other members take over its slots automatically',
)
LEAVING = Event(1504, logging.INFO, 'member is leaving')
LEFT = Event(1505, logging.INFO, 'member left')
PAUSED = Event(
    1506,
    logging.WARNING,
    'this process was paused',
    'check whether its VM is short of processor time',
)
LEASE_FAILED = Event(
    1507,
    logging.WARNING,
    'renewing the lease of this VM failed',
    'check that the key-value service answers',
)
LEASED = Event(1508, logging.INFO, 'lease of this VM granted')
NO_PEERS = Event(
    1509,
    logging.WARNING,
    'no peer answers',
    'check the addresses in settings.peers',
)
HINT_FAILED = Event(
    1510,
    logging.INFO,
    'reading the list of VMs or member leases failed',
)
SUPERSEDED = Event(
    1511,
    logging.ERROR,
    'another process uses the name of this member',
    'stop this process or give it a unique name',
)
STORE_UNREADABLE = Event(
    1512,
    logging.WARNING,
    'reading a watched key of the store failed',
    'check that the key-value service answers',
)
