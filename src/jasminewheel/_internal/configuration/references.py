"""Check resources against each other."""

from collections import Counter
from collections.abc import Iterable, Iterator

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.settings.problems import FieldProblem
from jasminewheel.models.caller import Caller
from jasminewheel.models.resource import ResourceKey, ResourceKind
from jasminewheel.models.target import MODEL, SERVICE, Target


def check_references(
    snapshot: Snapshot,
    changed: Iterable[ResourceKey],
) -> tuple[FieldProblem, ...]:
    """Return what is wrong between resources after the change."""
    kinds: dict[str, set[str]] = {kind.value: set() for kind in ResourceKind}
    for key in changed:
        kinds[key.kind].add(key.name)
    callers = kinds[ResourceKind.caller.value]
    if not kinds[ResourceKind.target.value] <= snapshot.targets.keys():
        # A target was deleted, so any caller may have lost its reference.
        callers = set(snapshot.callers)
    problems = [
        *_all_caller_problems(snapshot, callers),
        *_all_target_problems(snapshot),
    ]
    return tuple(sorted(problems))


def _all_caller_problems(
    snapshot: Snapshot,
    names: Iterable[str],
) -> Iterator[FieldProblem]:
    for name in names:
        caller = snapshot.callers.get(name)
        if caller is not None:
            yield from _caller_problems(snapshot, caller)


def _all_target_problems(snapshot: Snapshot) -> Iterator[FieldProblem]:
    for target in snapshot.targets.values():
        yield from _target_problems(snapshot, target)


def _caller_problems(
    snapshot: Snapshot,
    caller: Caller,
) -> Iterator[FieldProblem]:
    place = f'caller/{caller.name}.spec'
    for position, target in enumerate(caller.targets):
        if target not in snapshot.targets:
            yield FieldProblem(
                f'{place}.targets[{position}]',
                f'no target is named {target}',
            )
    for number, one in enumerate(caller.key_hashes):
        holder = snapshot.names_by_key.get(one.sha256)
        if holder != caller.name:
            yield FieldProblem(
                f'{place}.key_hashes[{number}]',
                f'caller {holder} has the same key',
            )


def _target_problems(
    snapshot: Snapshot,
    target: Target,
) -> Iterator[FieldProblem]:
    place = f'target/{target.name}.spec'
    names = Counter(runner.name for runner in target.runners)
    for position, runner in enumerate(target.runners):
        if names[runner.name] > 1:
            yield FieldProblem(
                f'{place}.runners[{position}].name',
                f'{runner.name} is used more than once',
            )
    yield from _model_problems(snapshot, target, place)


def _model_problems(
    snapshot: Snapshot,
    target: Target,
    place: str,
) -> Iterator[FieldProblem]:
    if target.kind == SERVICE:
        if target.model or target.adapters:
            yield FieldProblem(f'{place}.model', 'a service has no model')
        return
    if target.operations:
        yield FieldProblem(
            f'{place}.operations',
            f'a target of kind {MODEL} has no operations',
        )
    model = snapshot.models.get(target.model)
    if model is None:
        yield FieldProblem(
            f'{place}.model',
            f'no model is named {target.model!r}',
        )
        return
    for position, adapter in enumerate(target.adapters):
        if adapter not in model.adapters:
            yield FieldProblem(
                f'{place}.adapters[{position}]',
                f'model {model.name} has no adapter {adapter}',
            )
