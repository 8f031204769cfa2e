"""Parse the bodies of callers' requests."""

import json
from hashlib import sha256
from typing import Any, TypeVar

from attrs import Factory, field, frozen, validators

from jasminewheel._internal.settings.loader import make_converter
from jasminewheel._internal.settings.problems import list_problems
from jasminewheel._internal.wire.gen.program.ttypes import Operation
from jasminewheel.errors import BadRequestError
from jasminewheel.models.call import CallRequest

BodyT = TypeVar('BodyT')
MAX_LABELS = 32
MAX_LABEL_CHARACTERS = 256
MAX_COMPLETION_TOKENS = 131_072
MAX_DEADLINE_SECONDS = 2_592_000
_ROLES = ('system', 'user', 'assistant', 'tool')
_CONVERTER = make_converter()
# Whether the answer is streamed does not change the request.
_NOT_IN_DIGEST = 'stream'


def _check_labels(body: Any, attribute: Any, labels: dict[str, str]) -> None:
    if len(labels) > MAX_LABELS:
        raise ValueError(f'at most {MAX_LABELS} labels')
    for name, label in labels.items():
        if max(len(name), len(label)) > MAX_LABEL_CHARACTERS:
            raise ValueError(f'at most {MAX_LABEL_CHARACTERS} characters')


_SECONDS = validators.optional(
    validators.and_(validators.gt(0), validators.le(MAX_DEADLINE_SECONDS)),
)


@frozen
class OpenBody:
    """Represent the body of a request to open a program."""

    deadline_seconds: float | None = field(default=None, validator=_SECONDS)
    labels: dict[str, str] = field(factory=dict, validator=_check_labels)


@frozen
class CallBody:
    """Represent the body of a request to make a call."""

    target: str
    input: dict[str, Any] = Factory(dict)
    repeatable: bool | None = None
    stream: bool = False
    operation: str = ''
    deadline_seconds: float | None = field(default=None, validator=_SECONDS)


@frozen
class MessageBody:
    """Represent one message in a caller's request."""

    content: str
    role: str = field(default='user', validator=validators.in_(_ROLES))


@frozen
class ModelInput:
    """Represent the input of a model call."""

    messages: tuple[MessageBody, ...] = field(validator=validators.min_len(1))
    max_tokens: int = field(
        validator=[
            validators.ge(1),
            validators.le(MAX_COMPLETION_TOKENS),
        ],
    )
    model: str = ''
    adapter: str = ''


def parse_body(body: bytes, kind: type[BodyT]) -> BodyT:
    """Return the body; raise BadRequestError naming each wrong field."""
    return structure_body(parse_json(body), kind)


def structure_body(raw: Any, kind: type[BodyT]) -> BodyT:
    """Convert parsed JSON to the kind; raise BadRequestError on failure."""
    try:
        return _CONVERTER.structure(raw, kind)
    except Exception as error:
        problems = '; '.join(map(str, list_problems(error)))
        raise BadRequestError(
            problems, remedy='correct the fields named'
        ) from error


def parse_json(body: bytes) -> dict[str, Any]:
    """Return a JSON object; raise BadRequestError for anything else."""
    try:
        raw = json.loads(body or b'{}')
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f'the body is no JSON: {error}') from error
    if not isinstance(raw, dict):
        raise BadRequestError('the body is no JSON object')
    return raw


def digest_of(body: bytes) -> str:
    """Return a digest that does not depend on the order of fields."""
    raw = parse_json(body)
    raw.pop(_NOT_IN_DIGEST, None)
    text = json.dumps(raw, sort_keys=True, separators=(',', ':'))
    return sha256(text.encode()).hexdigest()


def call_request(operation: Operation, now: float) -> CallRequest:
    """Return the call that an operation requests."""
    body = parse_body(operation.body, CallBody)
    known = [operation.deadline_at] if operation.deadline_at else []
    if body.deadline_seconds:
        known.append(now + body.deadline_seconds)
    return CallRequest(
        request_id=operation.request_id,
        digest=digest_of(operation.body),
        target=body.target,
        operation=body.operation,
        content=json.dumps(body.input).encode(),
        repeatable=body.repeatable,
        deadline_at=min(known, default=0),
    )
