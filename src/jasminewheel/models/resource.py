"""Define resources: kind, name, specification and version."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

from attrs import frozen

from jasminewheel.models.caller import Caller
from jasminewheel.models.model import Model
from jasminewheel.models.policy import Policy
from jasminewheel.models.target import Target

Spec = Caller | Target | Model | Policy


class ResourceKind(Enum):
    """Represent the kind of a resource that operators write."""

    caller = 'caller'
    target = 'target'
    model = 'model'
    policy = 'policy'


@frozen(order=True)
class ResourceKey:
    """Identify a resource within the fleet."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Return `kind/name`."""
        return f'{self.kind}/{self.name}'


@frozen
class Resource:
    """Represent a resource; `version` is that of its last change."""

    kind: ResourceKind
    spec: Spec
    version: int = 0

    @property
    def key(self) -> ResourceKey:
        """Return the kind and name."""
        return ResourceKey(self.kind.value, self.spec.name)


SPECS: Mapping[ResourceKind, type[Spec]] = MappingProxyType(
    {
        ResourceKind.caller: Caller,
        ResourceKind.target: Target,
        ResourceKind.model: Model,
        ResourceKind.policy: Policy,
    }
)
