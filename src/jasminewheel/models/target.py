"""Define targets: models and services with the runners that serve them."""

from collections.abc import Mapping
from typing import Annotated

from attrs import Factory, frozen

from jasminewheel.models.fields import Count, Name, Place, Seconds, Url
from jasminewheel.models.rules import AtMost, Between, OneOf

MODEL = 'model'
SERVICE = 'service'
MAX_BODY_BYTES = 16 * 1024 * 1024


@frozen
class Runner:
    """Represent one process that serves a target."""

    name: Name
    url: Url
    region: Place
    zone: Place
    fenced: bool = False
    max_running: Count = 64
    draining: bool = False


@frozen
class Operation:
    """Represent one operation of a service."""

    repeatable: bool = False
    timeout_seconds: Seconds = 30.0


@frozen
class Target:
    """Represent one target with its runners."""

    name: Name
    kind: Annotated[str, OneOf((MODEL, SERVICE))]
    runners: Annotated[tuple[Runner, ...], AtMost(2000)]
    operations: Mapping[Name, Operation] = Factory(dict)
    model: str = ''
    adapters: tuple[Name, ...] = ()
    max_body_bytes: Annotated[int, Between(1, MAX_BODY_BYTES)] = 1024 * 1024

    def serving_runners(self) -> tuple[Runner, ...]:
        """Return the runners that are not draining."""
        return tuple(one for one in self.runners if not one.draining)
