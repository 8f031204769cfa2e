"""Plan from the configuration how a call is run."""

from attrs import frozen

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.program.requests import (
    ModelInput,
    parse_json,
    structure_body,
)
from jasminewheel.errors import (
    BadRequestError,
    ForbiddenError,
    NotFoundError,
    TooLargeError,
)
from jasminewheel.models.call import CallRequest
from jasminewheel.models.caller import Caller
from jasminewheel.models.target import MODEL, Operation, Target


@frozen
class CallPlan:
    """Represent the configuration of one call; times in seconds."""

    caller: Caller
    target: Target
    repeatable: bool
    timeout_seconds: float = 0
    model_input: ModelInput | None = None

    @property
    def max_tokens(self) -> int:
        """Return the maximum number of tokens of a model's answer."""
        return self.model_input.max_tokens if self.model_input else 0

    def runner_url(self, name: str) -> str:
        """Return the address of a runner, or empty if it was removed."""
        for runner in self.target.runners:
            if runner.name == name:
                return runner.url
        return ''


def make_plan(
    snapshot: Snapshot, caller_name: str, request: CallRequest
) -> CallPlan:
    """Return the plan of a call; raise an error, before it runs, if refused."""
    caller = snapshot.callers.get(caller_name)
    if caller is None:
        raise NotFoundError(f'caller {caller_name} is not declared')
    target = find_target(snapshot, caller, request)
    if target.kind == MODEL:
        return _model_plan(caller, target, request)
    return _service_plan(caller, target, request)


def find_target(
    snapshot: Snapshot, caller: Caller, request: CallRequest
) -> Target:
    """Return the target if the caller may call it with this body."""
    target = snapshot.targets.get(request.target)
    if target is None:
        raise NotFoundError(
            f'target {request.target} is not declared',
            remedy='name one of the declared targets',
        )
    if not caller.may_call(request.target):
        raise ForbiddenError(
            f'{caller.name} may not call {request.target}',
            remedy='ask the operator to allow the target',
        )
    if len(request.content) > target.max_body_bytes:
        raise TooLargeError(
            f'the input is over {target.max_body_bytes} bytes',
            remedy='send less or have the limit of the target raised',
        )
    return target


def deadline_for(
    caller: Caller, asked_seconds: float | None, opened: float
) -> float:
    """Return the deadline of a new program, as Unix time in seconds."""
    allowed = caller.deadline_seconds
    return opened + min(asked_seconds or allowed, allowed)


def _model_plan(
    caller: Caller, target: Target, request: CallRequest
) -> CallPlan:
    if request.operation:
        raise BadRequestError(
            f'{target.name} is a model and has no operations',
            remedy='leave out the operation',
        )
    model_input = structure_body(parse_json(request.content), ModelInput)
    _check_names(target, model_input)
    repeatable = request.repeatable is not False
    return CallPlan(caller, target, repeatable, model_input=model_input)


def _check_names(target: Target, model_input: ModelInput) -> None:
    if model_input.model not in {'', target.model}:
        raise BadRequestError(
            f'{target.name} does not serve model {model_input.model}'
        )
    if model_input.adapter and model_input.adapter not in target.adapters:
        raise BadRequestError(
            f'{target.name} has no adapter {model_input.adapter}'
        )


def _service_plan(
    caller: Caller, target: Target, request: CallRequest
) -> CallPlan:
    operation = _find_operation(target, request.operation)
    allowed = request.repeatable is not False
    return CallPlan(
        caller,
        target,
        repeatable=operation.repeatable and allowed,
        timeout_seconds=operation.timeout_seconds,
    )


def _find_operation(target: Target, name: str) -> Operation:
    operation = target.operations.get(name)
    if operation is None:
        known = ', '.join(sorted(target.operations))
        raise NotFoundError(
            f'{target.name} has no operation {name!r}',
            remedy=f'name one of: {known}',
        )
    return operation
