"""Events 1100 to 1149: the disk log of a history process."""

import logging

from jasminewheel._internal.events.event import Event

TORN_END_TRUNCATED = Event(
    1100,
    logging.WARNING,
    'torn end of the disk log truncated',
    'expected after a crash; no acknowledged record is lost',
)
DISK_FULL = Event(
    1101,
    logging.ERROR,
    'disk full, records refused',
    'add a disk VM or raise quota_bytes',
)
DISK_FAILED = Event(
    1102,
    logging.CRITICAL,
    'disk failed, process stops',
    'replace this disk VM',
)
ENTRY_DAMAGED = Event(
    1103,
    logging.ERROR,
    'stored entry is damaged and not served',
    'replace this disk VM',
)
SEGMENT_REMOVED = Event(1104, logging.INFO, 'segment compacted and removed')
LOADED = Event(1105, logging.INFO, 'disk log loaded')
