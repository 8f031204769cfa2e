"""Events 1800 to 1849: replicas of turns and token budgets."""

import logging

from jasminewheel._internal.events.event import Event

LOADED = Event(1800, logging.INFO, 'turns and budgets loaded from disk')
DISK_FAILED = Event(
    1801,
    logging.ERROR,
    'disk failed, its log goes on in a new file',
    'replace this disk VM if this goes on',
)
SET_ADOPTED = Event(1802, logging.INFO, 'replica set in force', belief=True)
SET_PROPOSED = Event(1803, logging.INFO, 'change of the replica set proposed')
SET_LOST_RACE = Event(
    1804, logging.INFO, 'another process changed the replica set first'
)
CAUGHT_UP = Event(1805, logging.INFO, 'this disk copied what the others hold')
CATCH_UP_FAILED = Event(
    1806,
    logging.WARNING,
    'this disk could not copy from a majority; it tries again',
    'see whether the other disk VMs run',
)
REPLICA_UNRESPONSIVE = Event(
    1807,
    logging.WARNING,
    'a replica does not answer and is asked last',
    'see whether its VM runs',
    belief=True,
)
REPLICA_RECOVERED = Event(
    1808, logging.INFO, 'a replica answers again', belief=True
)
QUORUM_LOST = Event(
    1809,
    logging.WARNING,
    'too few replicas answered; the request is refused or cut',
    'see whether the disk VMs run',
    belief=True,
)
RETIRE_STATUS = Event(1810, logging.INFO, 'progress of emptying a disk VM')
STALE_SET_REFUSED = Event(
    1811, logging.INFO, 'a request under an outdated replica set refused'
)
RELAY_USED = Event(
    1812,
    logging.WARNING,
    'a replica is reached through another entry',
    'see what cuts this VM off from the replica',
    belief=True,
)
RELAY_FAILED = Event(
    1813,
    logging.INFO,
    'another entry does not reach the replica either',
    belief=True,
)
ENTRY_SKIPPED = Event(
    1814,
    logging.WARNING,
    'a listed entry cannot be read and is not used',
    'see which process wrote the key',
)
FILE_CLEANED = Event(
    1815,
    logging.INFO,
    'an old file of the log was emptied and removed',
    belief=True,
)
WRITE_SLOW = Event(
    1816,
    logging.WARNING,
    'records took long to become durable',
    'see whether the disk of this VM is slow',
    belief=True,
)
COPY_STARTED = Event(
    1817, logging.INFO, 'this disk copies for a change', belief=True
)
COPIED_FROM = Event(
    1818, logging.INFO, 'records copied from one replica', belief=True
)
CLEANING_FAILED = Event(
    1819,
    logging.WARNING,
    'an old file of the log could not be removed; it is tried again',
    'see whether the disk of this VM is full or failed',
    belief=True,
)
NO_ROUTE = Event(
    1820,
    logging.INFO,
    'no other entry that was asked reaches a replica',
    belief=True,
)
REPLICA_REPLACED = Event(
    1821,
    logging.WARNING,
    'the disk of a replica is lost; another one stands in its place',
    'see that the replica set changes soon',
    belief=True,
)
