"""Name the collections of resources."""

from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.models.resource import ResourceKind


def collection_of(kind: str) -> str:
    """Return the collection of a kind, given as singular or plural."""
    for known in ResourceKind:
        plural = f'{known.value}s'
        if known is ResourceKind.policy:
            plural = 'policies'
        if kind in {known.value, plural}:
            return plural
    words = ', '.join(one.value for one in ResourceKind)
    raise CommandError(
        f'there is no kind {kind}; kinds are {words}',
        ExitCode.usage,
    )
