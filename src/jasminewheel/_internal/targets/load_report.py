"""Represent the load that a runner reports."""

from attrs import frozen


@frozen
class LoadReport:
    """Represent a runner's load when the report was made, some time ago."""

    running: int
    waiting: int
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
