"""Define models that engines load."""

from typing import Annotated

from attrs import frozen

from jasminewheel.models.fields import Name, Place
from jasminewheel.models.rules import AtMost, Between


@frozen
class Model:
    """Represent one model with its version and adapters."""

    name: Name
    version: Place = '1'
    adapters: Annotated[tuple[Name, ...], AtMost(1000)] = ()
    max_context_tokens: Annotated[int, Between(1, 100_000_000)] = 131072
    kv_bytes_per_token: Annotated[int, Between(1, 100_000_000)] = 131072
    weights_bytes: Annotated[int, Between(0, 10**14)] = 0
