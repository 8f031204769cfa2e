"""Define the changes that operators request."""

from attrs import frozen

from jasminewheel.models.resource import ResourceKey, Spec


@frozen
class ResourceChange:
    """Represent the replacement or, without a spec, deletion of a resource.

    The change is refused unless the resource is at the expected version, if
    one is given; 0 means that the resource must not exist.
    """

    key: ResourceKey
    spec: Spec | None
    expected_version: int | None = None
