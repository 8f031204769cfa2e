"""Events 1010 to 1029: connections between peers."""

import logging

from jasminewheel._internal.events.event import Event

PEER_REFUSED = Event(
    1010,
    logging.WARNING,
    'peer refused or violated the protocol',
    'check that both processes have the same key file and version',
)
CONNECTIONS_FULL = Event(
    1011,
    logging.WARNING,
    'connection refused; the limit of connections is reached',
    'check which hosts open connections to the peer port',
)
HANDLER_FAILED = Event(
    1012,
    logging.ERROR,
    'handler of a peer message failed',
    'report the stack trace that follows',
)
