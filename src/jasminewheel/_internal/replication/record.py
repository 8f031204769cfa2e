"""Hold the records of replicated logs."""

from attrs import frozen


@frozen
class LogRecord:
    """Hold one record; a snapshot stands for all records before it."""

    index: int
    kind: str
    payload: bytes
    snapshot: bool = False
