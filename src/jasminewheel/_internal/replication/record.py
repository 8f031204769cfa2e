"""Hold the records of replicated logs."""

from attrs import frozen


# The kind of the record that ends a log; its replicas may then free it.
DROPPED_KIND = 'dropped'


@frozen
class LogRecord:
    """Hold one record; a snapshot stands for all records before it."""

    index: int
    kind: str
    payload: bytes
    snapshot: bool = False
