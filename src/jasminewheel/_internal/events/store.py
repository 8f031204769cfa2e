"""Events 1850 to 1869: the store that operators write to."""

import logging

from jasminewheel._internal.events.event import Event

LOST = Event(
    1850,
    logging.WARNING,
    'store unavailable; the last known values stay in force',
    'check that the store runs and that this VM can reach it',
    state_change=True,
)
BACK = Event(1851, logging.INFO, 'store available again', state_change=True)
HISTORY_LOST = Event(
    1852,
    logging.INFO,
    'the store no longer has the changes to watch; all keys are read again',
)
LEASE_GRANTED = Event(1853, logging.INFO, 'lease granted for this process')
LEASE_LOST = Event(
    1854,
    logging.WARNING,
    'lease of this process could not be granted, renewed or ended',
    'check that the store runs and that this VM can reach it',
    state_change=True,
)
KNOWN_TAKEN = Event(
    1855,
    logging.INFO,
    'store unavailable; keys received from another process were applied',
    state_change=True,
)
SETTLED = Event(
    1858,
    logging.INFO,
    'another process confirmed that the missing keys were deleted',
    state_change=True,
)
KNOWN_UNREADABLE = Event(
    1856,
    logging.WARNING,
    'the copy of the store on this disk is unreadable and is ignored',
    'nothing; it is written again when the store is available',
)
KNOWN_UNWRITTEN = Event(
    1857,
    logging.WARNING,
    'the copy of the store could not be written to this disk',
    'check that the disk has free space',
)
FOLLOWING = Event(
    1859,
    logging.INFO,
    'changes of the store are received from another process',
    state_change=True,
)
READER_FAILED = Event(
    1860,
    logging.WARNING,
    'process that reads the store for this one failed; another one is asked',
    'check the process at this address, and that it can reach the store',
    state_change=True,
)
LARGE_CHANGES = Event(
    1863,
    logging.INFO,
    'changes of the store of many bytes were received',
    state_change=True,
)
KEY_DIFFERED = Event(
    1862,
    logging.INFO,
    'the key of this process was seen to differ from what it wrote',
    state_change=True,
)
READING_ALONE = Event(
    1861,
    logging.WARNING,
    'no other process reads the store for this one; it is read directly',
    'check the processes on the VMs with a disk',
    state_change=True,
)
