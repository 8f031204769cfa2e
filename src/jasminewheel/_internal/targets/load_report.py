"""Hold what a runner says of its load."""

from attrs import frozen


@frozen
class LoadReport:
    """Report a runner's load, as it was a while ago."""

    running: int
    waiting: int
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
