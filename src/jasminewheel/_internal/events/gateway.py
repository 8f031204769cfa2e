"""Events 1870 to 1899: client requests and the runners that serve them."""

import logging

from jasminewheel._internal.events.event import Event

ENDED = Event(1870, logging.INFO, 'request completed', routine=True)
REFUSED = Event(
    1871,
    logging.INFO,
    'request refused or failed; the verdict says whether it may have run',
)
ATTEMPT_FAILED = Event(
    1872, logging.INFO, 'runner refused or failed an attempt'
)
ABANDONED = Event(
    1873, logging.INFO, 'caller disconnected before the answer was complete'
)
STREAM_TRUNCATED = Event(
    1874, logging.INFO, 'stream of a runner ended within an event'
)
MALFORMED_REQUEST = Event(
    1875, logging.INFO, 'malformed or oversized request refused'
)
RUNNER_LISTED = Event(1876, logging.INFO, 'runner listed', state_change=True)
RUNNER_DRAINING = Event(
    1877, logging.INFO, 'draining state of a runner changed', state_change=True
)
RUNNER_REMOVED = Event(
    1878, logging.INFO, 'runner removed from the list', state_change=True
)
RUNNER_SKIPPED = Event(
    1879,
    logging.WARNING,
    'invalid runner entry in the store skipped',
    'check which process wrote the entry',
)
ROUTES_ADOPTED = Event(
    1880, logging.INFO, 'new configuration applied', state_change=True
)
ROUTES_SKIPPED = Event(
    1881,
    logging.WARNING,
    'invalid configuration skipped; the previous one stays in force',
    'write a valid configuration',
)
READY = Event(
    1882, logging.INFO, 'readiness of this entry changed', state_change=True
)
DRAINING = Event(
    1883,
    logging.INFO,
    'stop requested; requests in progress are completed first',
)
ROUTE_SKIPPED = Event(
    1885,
    logging.WARNING,
    'invalid route in the configuration skipped',
    'correct the route and write the configuration again',
)
REFUSED_UNROUTED = Event(
    1886, logging.INFO, 'request refused before it was matched to a route'
)
TURN_NOT_STORED = Event(
    1887,
    logging.WARNING,
    'call ended before its turn was stored; the stream is cut',
    'check why the disks did not answer',
    state_change=True,
)
TURN_COMMIT_RETRIED = Event(
    1889,
    logging.INFO,
    'storing a finished turn failed; it is retried',
)
ANSWER_TOO_LONG = Event(
    1888,
    logging.WARNING,
    'answer of a runner exceeds a size limit; the connection is closed',
    'check the runner, and replace it if it is faulty',
)
RUNNER_RETAINED = Event(
    1890,
    logging.INFO,
    'runner no longer listed; used until its entry can be listed again',
    state_change=True,
)
CALLS_ENDED = Event(
    1891,
    logging.WARNING,
    'calls ended unanswered because the grace period of the stop is over',
    remedy='see which runners took longer than the grace period',
)
RUNNER_LEAVING = Event(
    1893,
    logging.INFO,
    'runner said in an answer that it leaves; it gets no new calls',
    state_change=True,
)
LIMITED = Event(
    1894,
    logging.INFO,
    'runner names the rate of requests that it takes from all entries',
    state_change=True,
)
LIMIT_ENDED = Event(
    1895, logging.INFO, 'runner names no limit any more', state_change=True
)
HEDGED = Event(
    1892,
    logging.INFO,
    'runner is slow to answer; the call is sent to another one as well',
)
