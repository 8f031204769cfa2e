"""Events 1300 to 1399: budgets of callers."""

import logging

from jasminewheel._internal.events.event import Event

ACCOUNT_LOADED = Event(
    1300, logging.DEBUG, 'budget account loaded from its log'
)
GRANT_NOT_RETURNED = Event(
    1301,
    logging.WARNING,
    'grants could not be returned; they count as spent',
    'raise spec.budget if callers are refused; check whether histories answer',
)
OVERSPENT = Event(
    1302,
    logging.ERROR,
    'a call used more tokens than were reserved',
    'check the limits of the target against its runners',
)
REFILL_FAILED = Event(
    1303, logging.INFO, 'background request for a grant failed'
)
