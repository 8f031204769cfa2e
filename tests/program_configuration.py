"""Declare callers, a model and a service for tests of programs."""

from jasminewheel._internal.configuration.snapshot import Snapshot, hash_key
from jasminewheel.models.caller import Budget, Caller, KeyHash
from jasminewheel.models.target import Operation, Runner, Target

KEY = 'cafe-key'


def make_runner(name):
    """Return a runner whose address is its name."""
    return Runner(name=name, url=f'http://{name}', region='r', zone='z')


def make_snapshot(**fields):
    """Return a configuration with two callers, a model and a service."""
    callers = {
        name: Caller(
            name=name,
            key_hashes=(KeyHash(hash_key(key)),),
            budget=Budget(tokens=1_000_000),
            targets=('helper-models', 'ticket-desk'),
            **fields,
        )
        for name, key in (('cafe', KEY), ('yard', 'yard-key'))
    }
    targets = {
        'helper-models': Target(
            name='helper-models',
            kind='model',
            model='guide',
            runners=(make_runner('engine-1'), make_runner('engine-2')),
        ),
        'ticket-desk': Target(
            name='ticket-desk',
            kind='service',
            runners=(make_runner('desk-1'), make_runner('desk-2')),
            operations={
                'lookup': Operation(repeatable=True, timeout_seconds=1),
                'text': Operation(repeatable=False, timeout_seconds=1),
            },
        ),
    }
    return Snapshot(version=1, callers=callers, targets=targets)
