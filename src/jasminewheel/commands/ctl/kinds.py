"""Map resource kinds to collections of the API."""

from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.models.resource import ResourceKind


def collection_of(kind: str) -> str:
    """Return the collection of a kind, given in singular or plural."""
    for resource_kind in ResourceKind:
        plural = f'{resource_kind.value}s'
        if resource_kind is ResourceKind.policy:
            plural = 'policies'
        if kind in {resource_kind.value, plural}:
            return plural
    words = ', '.join(one.value for one in ResourceKind)
    raise CommandError(
        f'unknown kind {kind}; valid kinds are {words}',
        ExitCode.usage,
    )
