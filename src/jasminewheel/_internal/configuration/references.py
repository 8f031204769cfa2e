"""Check the references between resources."""

from collections import Counter
from collections.abc import Iterable, Iterator

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.settings.problems import FieldProblem
from jasminewheel.models.caller import Caller
from jasminewheel.models.resource import ResourceKey, ResourceKind
from jasminewheel.models.target import MODEL, SERVICE, Target


def check_references(
    earlier: Snapshot,
    snapshot: Snapshot,
    changed: Iterable[ResourceKey],
) -> tuple[FieldProblem, ...]:
    """Return the problems between resources after the change."""
    kinds: dict[str, set[str]] = {kind.value: set() for kind in ResourceKind}
    for key in changed:
        kinds[key.kind].add(key.name)
    callers = kinds[ResourceKind.caller.value]
    if not kinds[ResourceKind.target.value] <= snapshot.targets.keys():
        # A deleted target may be referenced by any caller.
        callers = set(snapshot.callers)
    specs = [snapshot.callers.get(name) for name in sorted(callers)]
    changed_callers = [spec for spec in specs if spec]
    problems = [
        *_unknown_targets(snapshot, changed_callers),
        *_duplicate_keys(earlier, snapshot, changed_callers),
    ]
    for target in snapshot.targets.values():
        problems.extend(_target_problems(snapshot, target))
    return tuple(sorted(problems))


def _unknown_targets(
    snapshot: Snapshot,
    callers: Iterable[Caller],
) -> Iterator[FieldProblem]:
    for caller in callers:
        for position, target in enumerate(caller.targets):
            if target not in snapshot.targets:
                yield FieldProblem(
                    f'caller/{caller.name}.spec.targets[{position}]',
                    f'no target is named {target}',
                )


def _duplicate_keys(
    earlier: Snapshot,
    snapshot: Snapshot,
    callers: Iterable[Caller],
) -> Iterator[FieldProblem]:
    """Iterate over keys that two callers would share.

    No earlier version has a shared key, so that a changed caller can share
    one only with a caller that had it before or with another changed caller.
    """
    callers_by_hash: dict[str, str] = {}
    for caller in callers:
        for position, one in enumerate(caller.key_hashes):
            other = callers_by_hash.setdefault(one.sha256, caller.name)
            if other == caller.name:
                other = _caller_keeping_key(earlier, snapshot, one.sha256)
            if other not in {'', caller.name}:
                yield FieldProblem(
                    f'caller/{caller.name}.spec.key_hashes[{position}]',
                    f'caller {other} has the same key',
                )


def _caller_keeping_key(
    earlier: Snapshot, snapshot: Snapshot, digest: str
) -> str:
    """Return the caller that has the key in both versions, or an empty name."""
    name = earlier.names_by_key.get(digest, '')
    caller = snapshot.callers.get(name)
    if caller is None:
        return ''
    still_has_key = any(one.sha256 == digest for one in caller.key_hashes)
    return name if still_has_key else ''


def _target_problems(
    snapshot: Snapshot,
    target: Target,
) -> Iterator[FieldProblem]:
    path_prefix = f'target/{target.name}.spec'
    names = Counter(runner.name for runner in target.runners)
    for position, runner in enumerate(target.runners):
        if names[runner.name] > 1:
            yield FieldProblem(
                f'{path_prefix}.runners[{position}].name',
                f'{runner.name} is used more than once',
            )
    yield from _model_problems(snapshot, target, path_prefix)


def _model_problems(
    snapshot: Snapshot,
    target: Target,
    path_prefix: str,
) -> Iterator[FieldProblem]:
    if target.kind == SERVICE:
        if target.model or target.adapters:
            yield FieldProblem(f'{path_prefix}.model', 'a service has no model')
        return
    if target.operations:
        yield FieldProblem(
            f'{path_prefix}.operations',
            f'a target of kind {MODEL} has no operations',
        )
    model = snapshot.models.get(target.model)
    if model is None:
        yield FieldProblem(
            f'{path_prefix}.model',
            f'no model is named {target.model!r}',
        )
        return
    for position, adapter in enumerate(target.adapters):
        if adapter not in model.adapters:
            yield FieldProblem(
                f'{path_prefix}.adapters[{position}]',
                f'model {model.name} has no adapter {adapter}',
            )
