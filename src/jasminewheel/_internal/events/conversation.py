"""Events 1800 to 1849: replicas of turns and token budgets."""

import logging

from jasminewheel._internal.events.event import Event

LOADED = Event(1800, logging.INFO, 'turns and budgets loaded from disk')
DISK_FAILED = Event(
    1801,
    logging.ERROR,
    'write to the disk failed; the log continues in a new file',
    'replace this disk VM if this continues',
)
SET_ADOPTED = Event(
    1802, logging.INFO, 'new replica set in force', state_change=True
)
SET_PROPOSED = Event(1803, logging.INFO, 'change of the replica set proposed')
SET_LOST_RACE = Event(
    1804, logging.INFO, 'another process changed the replica set first'
)
CAUGHT_UP = Event(
    1805, logging.INFO, 'copied the records of the other disks to this disk'
)
CATCH_UP_FAILED = Event(
    1806,
    logging.WARNING,
    'copying from a replica to this disk failed; it is retried',
    'check whether the other disk VMs run',
)
REPLICA_UNRESPONSIVE = Event(
    1807,
    logging.WARNING,
    'replica is unresponsive and is asked after the others',
    'check whether its VM runs',
    state_change=True,
)
REPLICA_RECOVERED = Event(
    1808, logging.INFO, 'replica is responsive again', state_change=True
)
QUORUM_LOST = Event(
    1809,
    logging.WARNING,
    'too few replicas answered; the request is refused or cut off',
    'check whether the disk VMs run',
    state_change=True,
)
RETIRE_STATUS = Event(1810, logging.INFO, 'progress of retiring a disk VM')
STALE_SET_REFUSED = Event(
    1811, logging.INFO, 'rejected a request under an outdated replica set'
)
RELAY_USED = Event(
    1812,
    logging.WARNING,
    'replica is asked through another entry as well',
    'check the network between this VM and the replica',
    state_change=True,
)
RELAY_FAILED = Event(
    1813,
    logging.INFO,
    'relaying to a replica through another entry failed',
    state_change=True,
)
ENTRY_SKIPPED = Event(
    1814,
    logging.WARNING,
    'a listed entry is invalid and is not used',
    'find out which process wrote the key',
)
FILE_CLEANED = Event(
    1815,
    logging.INFO,
    'an old file of the log was compacted and removed',
    state_change=True,
)
WRITE_SLOW = Event(
    1816,
    logging.WARNING,
    'writing records to the disk was slow',
    'check whether the disk of this VM is slow',
    state_change=True,
)
COPY_STARTED = Event(
    1817,
    logging.INFO,
    'copying to this disk for a change of the replica set started',
    state_change=True,
)
COPIED_FROM = Event(
    1818, logging.INFO, 'records copied from one replica', state_change=True
)
CLEANING_FAILED = Event(
    1819,
    logging.WARNING,
    'an old file of the log could not be removed; it is retried',
    'check whether the disk of this VM is full or failed',
    state_change=True,
)
NO_ROUTE = Event(
    1820,
    logging.INFO,
    'none of the other entries asked has a route to the replica',
    state_change=True,
)
REPLICA_REPLACED = Event(
    1821,
    logging.WARNING,
    'the disk of a replica was lost and replaced by another disk',
    'check that the replica set changes soon',
    state_change=True,
)
