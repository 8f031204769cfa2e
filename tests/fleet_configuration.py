"""Define the configuration of a test fleet."""

import trio

from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.repository import (
    ConfigurationRepository,
)
from jasminewheel._internal.configuration.snapshot import hash_key
from jasminewheel._internal.store.client import HttpStore
from jasminewheel.models.caller import Budget, Caller, KeyHash
from jasminewheel.models.model import Model
from jasminewheel.models.policy import Policy
from jasminewheel.models.resource import Resource, ResourceKind
from jasminewheel.models.target import Operation, Runner, Target


def resources(fleet):
    """Return two callers, a model, its target, a service and the policy."""
    return [
        Resource(ResourceKind.model, Model(name='guide')),
        Resource(
            ResourceKind.target,
            Target(
                name='helper-models',
                kind='model',
                model='guide',
                runners=runners(fleet, 'engine-'),
                **fleet.target_fields,
            ),
        ),
        Resource(
            ResourceKind.target,
            Target(
                name='ticket-desk',
                kind='service',
                runners=runners(fleet, 'tool-'),
                operations={
                    'lookup': Operation(repeatable=True, timeout_seconds=3),
                    'text': Operation(repeatable=False, timeout_seconds=3),
                },
            ),
        ),
        Resource(ResourceKind.policy, Policy(**fleet.policy_fields)),
        Resource(ResourceKind.caller, caller('cafe', fleet)),
        Resource(ResourceKind.caller, caller('yard', fleet)),
    ]


def caller(name, fleet):
    """Return a caller whose key is `<name>-key`."""
    fields = {'budget': Budget(tokens=100_000_000), **fleet.caller_fields}
    return Caller(
        name=name,
        key_hashes=(KeyHash(hash_key(f'{name}-key')),),
        targets=('helper-models', 'ticket-desk'),
        **fields,
    )


def runners(fleet, prefix):
    """Return runners for the fake servers with a prefix of their names."""
    return tuple(
        Runner(name=name, url=server.url, region='north', zone='n-1')
        for name, server in fleet.servers.items()
        if name.startswith(prefix)
    )


def commit(store_url, wanted):
    """Commit resources to the store."""
    changes = [ResourceChange(each.key, each.spec) for each in wanted]
    trio.run(_commit, store_url, changes)


async def _commit(store_url, changes):
    async with HttpStore(store_url) as store:
        repository = ConfigurationRepository(store, 'test')
        await repository.commit(changes, Configuration())
