"""Define the records of replicated logs."""

from attrs import frozen


# Kind of the record that ends a log. Once a majority stores it, replicas may
# free the log.
DROPPED_KIND = 'dropped'


@frozen
class LogRecord:
    """Represent one record; a snapshot replaces all records before it."""

    index: int
    kind: str
    payload: bytes
    snapshot: bool = False
