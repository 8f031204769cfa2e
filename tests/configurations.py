"""Build changes of resources for tests of the configuration."""

from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.snapshot import hash_key
from jasminewheel.models.caller import Budget, Caller, KeyHash
from jasminewheel.models.resource import ResourceKey
from jasminewheel.models.target import Target


def target_change(name='helper', **options):
    """Return a change that declares a plain service."""
    key = ResourceKey('target', name)
    return ResourceChange(key, Target(name, 'service', ()), **options)


def caller_change(name='clerk', tokens=1000, **options):
    """Return a change that declares a caller of the plain service."""
    spec = Caller(
        name,
        (KeyHash(hash_key(f'key-{name}')),),
        Budget(tokens),
        ('helper',),
    )
    return ResourceChange(ResourceKey('caller', name), spec, **options)


def caller_changes(count):
    """Return changes that declare many callers and their target."""
    callers = [caller_change(f'caller-{number}') for number in range(count)]
    return [target_change(), *callers]
