"""Describe changes that operators ask for."""

from attrs import frozen

from jasminewheel.models.resource import ResourceKey, Spec


@frozen
class ResourceChange:
    """Put a specification, or delete the resource if there is none.

    With an expected version the resource has to be at it; 0 expects none.
    """

    key: ResourceKey
    spec: Spec | None
    expected_version: int | None = None
