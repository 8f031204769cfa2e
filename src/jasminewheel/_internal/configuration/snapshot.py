"""Provide one version of the configuration for reading."""

from collections.abc import Iterator, Mapping
from hashlib import sha256

from attrs import Factory, frozen

from jasminewheel.models.caller import Caller
from jasminewheel.models.model import Model
from jasminewheel.models.policy import Policy
from jasminewheel.models.target import Target


def hash_key(key: str) -> str:
    """Return the SHA-256 under which a caller's key is declared, in hex."""
    return sha256(key.encode('utf-8')).hexdigest()


def index_keys(callers: Mapping[str, Caller]) -> dict[str, str]:
    """Return callers' names by the hashes of their keys."""
    return {
        one.sha256: caller.name
        for caller in callers.values()
        for one in caller.key_hashes
    }


def _indexed(snapshot: 'Snapshot') -> Mapping[str, str]:
    return index_keys(snapshot.callers)


@frozen(eq=False)
class Snapshot:
    """Represent the resources in force at one version."""

    version: int = 0
    callers: Mapping[str, Caller] = Factory(dict)
    targets: Mapping[str, Target] = Factory(dict)
    models: Mapping[str, Model] = Factory(dict)
    policy: Policy = Policy()
    names_by_key: Mapping[str, str] = Factory(_indexed, takes_self=True)

    def caller_by_key(self, key: str, now: float) -> Caller | None:
        """Return the caller of an unexpired key; `now` is Unix time."""
        digest = hash_key(key)
        name = self.names_by_key.get(digest)
        caller = self.callers.get(name) if name else None
        if caller is None:
            return None
        valid = any(
            one.valid(now) for one in caller.key_hashes if one.sha256 == digest
        )
        return caller if valid else None

    def runners(self) -> Iterator[str]:
        """Iterate over the names of all runners."""
        for target in self.targets.values():
            yield from (runner.name for runner in target.runners)
