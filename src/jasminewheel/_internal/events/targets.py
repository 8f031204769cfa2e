"""Events 1700 to 1799: targets and their runners."""

import logging

from jasminewheel._internal.events.event import Event

VMS_LEAVING = Event(1700, logging.INFO, 'the list of leaving VMs changed')
VM_LIST_UNAVAILABLE = Event(
    1701,
    logging.WARNING,
    'the list of VMs cannot be read; the last known list stays in force',
    'check vms_url in the settings and the list of the platform',
)
