"""Events 1870 to 1899: requests of callers and the runners they go to."""

import logging

from jasminewheel._internal.events.event import Event

ENDED = Event(1870, logging.INFO, 'request ended', routine=True)
REFUSED = Event(
    1871, logging.INFO, 'request refused or failed; the verdict says how'
)
ATTEMPT_FAILED = Event(
    1872, logging.INFO, 'a runner refused or failed an attempt'
)
ABANDONED = Event(1873, logging.INFO, 'the caller left before the answer')
STREAM_CUT = Event(
    1874, logging.INFO, 'a stream was cut before its end, so it is incomplete'
)
FAULTY_REQUEST = Event(
    1875, logging.INFO, 'bytes that are no acceptable request were refused'
)
RUNNER_LISTED = Event(1876, logging.INFO, 'runner listed', belief=True)
RUNNER_DRAINING = Event(
    1877, logging.INFO, 'runner gets no new calls', belief=True
)
RUNNER_GONE = Event(
    1878, logging.INFO, 'runner not listed any more', belief=True
)
RUNNER_SKIPPED = Event(
    1879,
    logging.WARNING,
    'entry of a runner cannot be used and is skipped',
    'see which writer the entry has',
)
ROUTES_ADOPTED = Event(
    1880, logging.INFO, 'configuration in force', belief=True
)
ROUTES_SKIPPED = Event(
    1881,
    logging.WARNING,
    'configuration cannot be read; the last one stays in force',
    'write it again',
)
READY = Event(
    1882, logging.INFO, 'readiness of this entry changed', belief=True
)
DRAINING = Event(1883, logging.INFO, 'stop requested; requests are finished')
ROUTE_SKIPPED = Event(
    1885,
    logging.WARNING,
    'a route cannot be read and is left out',
    'write the configuration again',
)
TURNED_AWAY = Event(
    1886, logging.INFO, 'request turned away before it had a route'
)
TURN_NOT_KEPT = Event(
    1887,
    logging.WARNING,
    'a turn that the caller got was not kept when its call ended; it is cut',
    'see why the disks did not answer',
    belief=True,
)
TURN_WAITS = Event(
    1889,
    logging.INFO,
    'a finished turn waits for the disks; they are asked again',
)
ANSWER_TOO_LONG = Event(
    1888,
    logging.WARNING,
    'a runner sent more than an answer has; its connection is closed',
    'see whether the runner is in trouble, and replace it',
)
RUNNER_KEPT = Event(
    1890,
    logging.INFO,
    'runner not listed any more, and used until its entry may be back',
    belief=True,
)
