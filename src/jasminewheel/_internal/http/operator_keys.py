"""Authenticate operators by their keys."""

import hmac

from attrs import frozen

from jasminewheel._internal.configuration.snapshot import hash_key
from jasminewheel.errors import UnauthorizedError

_BEARER = 'Bearer '


@frozen
class OperatorKey:
    """Represent an operator and the SHA-256 of the key in hex."""

    operator: str
    sha256: str


def find_operator(keys: tuple[OperatorKey, ...], authorization: str) -> str:
    """Return the operator whose key is in an Authorization header.

    Raise UnauthorizedError if no operator has the key.
    """
    digest = hash_key(authorization.removeprefix(_BEARER))
    for key in keys:
        if hmac.compare_digest(key.sha256, digest):
            return key.operator
    raise UnauthorizedError(
        'no operator has this key',
        remedy='send a key whose hash is in settings.operator_keys',
    )
