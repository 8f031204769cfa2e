"""Events 1300 to 1399: budgets of callers."""

import logging

from jasminewheel._internal.events.event import Event

ACCOUNT_LOADED = Event(1300, logging.DEBUG, 'account read from its log')
GRANT_NOT_RETURNED = Event(
    1301,
    logging.WARNING,
    'grants could not be given back; they count as spent',
    'raise spec.budget if callers are refused; see whether histories answer',
)
OVERSPENT = Event(
    1302,
    logging.ERROR,
    'a call used more tokens than were reserved',
    'check the limits of the target against its runners',
)
REFILL_FAILED = Event(1303, logging.INFO, 'no grant in advance')
