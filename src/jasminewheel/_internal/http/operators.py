"""Serve the operators' HTTP interface: resources, watches, status, events."""

import json
import time
from typing import Any

import trio
from attrs import define
from quart import Blueprint, Response, request
from werkzeug.exceptions import HTTPException

from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.documents import resource_document
from jasminewheel._internal.configuration.root import Author
from jasminewheel._internal.http import operator_answers as answers
from jasminewheel._internal.http.operator_keys import (
    OperatorKey,
    find_operator,
)
from jasminewheel._internal.operations.feed import ChangeFeed
from jasminewheel._internal.operations.fleet_queries import FleetQueries
from jasminewheel._internal.operations.resources import (
    ApplyResult,
    ResourceOperations,
    read_change,
    read_changes,
)
from jasminewheel.errors import (
    BadRequestError,
    JasminewheelError,
    NotFoundError,
)
from jasminewheel.models.resource import ResourceKey, ResourceKind

MAX_BODY_BYTES = 33_554_432
WAIT_SECONDS = 30
MAX_WAIT_SECONDS = 60
_BASE = '/apis/v1'
_DRAIN = f'{_BASE}/members/<name>/drain'
_NAMED = f'{_BASE}/<plural>/<name>'


@define(eq=False)
class OperatorsApi:
    """Check operators' keys and perform their requests."""

    keys: tuple[OperatorKey, ...]
    resources: ResourceOperations
    feed: ChangeFeed
    queries: FleetQueries

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint('operators', __name__)
        add = routes.add_url_rule
        add(f'{_BASE}/apply', 'apply', self.apply, methods=['POST'])
        add(f'{_BASE}/watch', 'watch', self.watch)
        add(_DRAIN, 'drain', self.drain, methods=['POST'])
        for handler in (self.status, self.audit, self.events):
            add(f'{_BASE}/{handler.__name__}', handler.__name__, handler)
        add(f'{_BASE}/<plural>', 'list', self.list_kind)
        add(_NAMED, 'get', self.get)
        add(_NAMED, 'put', self.put, methods=['PUT'])
        add(_NAMED, 'delete', self.delete, methods=['DELETE'])
        routes.register_error_handler(JasminewheelError, answers.problem)
        routes.register_error_handler(HTTPException, answers.library_problem)
        return routes

    async def apply(self) -> Response:
        """Apply changes, all or none; with dry_run only check them."""
        author = self.author()
        body = await read_json()
        changes = read_changes(body.get('resources'))
        if body.get('dry_run', False):
            return apply_response(self.resources.preview(changes))
        return apply_response(await self.resources.apply(changes, author))

    async def put(self, plural: str, name: str) -> Response:
        """Change one resource."""
        author = self.author()
        kind = kind_of(plural)
        body = await read_json()
        named = {**body, 'kind': kind.value, 'name': name}
        apply_result = await self.resources.apply(
            [read_change(named, '')], author
        )
        return apply_response(apply_result)

    async def delete(self, plural: str, name: str) -> Response:
        """Delete one resource."""
        author = self.author()
        key = ResourceKey(kind_of(plural).value, name)
        version = int_argument('version', -1)
        expected = version if version >= 0 else None
        change = ResourceChange(key, None, expected)
        return apply_response(await self.resources.apply([change], author))

    async def get(self, plural: str, name: str) -> Response:
        """Show one resource and the members where it is in force."""
        self.author()
        key = ResourceKey(kind_of(plural).value, name)
        resource = self.resources.get(key)
        members = await self.queries.status()
        return answers.json_response(
            {
                **resource_document(resource),
                'status': {
                    'in_force': sorted(
                        one.member
                        for one in members
                        if one.configuration_version >= resource.version
                    ),
                    'behind': sorted(
                        one.member
                        for one in members
                        if one.configuration_version < resource.version
                    ),
                },
            },
        )

    async def list_kind(self, plural: str) -> Response:
        """Show the resources of a kind."""
        self.author()
        found = self.resources.list(kind_of(plural))
        return answers.json_response(
            {
                'version': self.resources.current.version,
                'items': [resource_document(one) for one in found],
            },
        )

    async def watch(self) -> Response:
        """Wait for changes after a version and show them."""
        self.author()
        after = int_argument('after', 0)
        wait = min(int_argument('wait_seconds', WAIT_SECONDS), MAX_WAIT_SECONDS)
        kind = request.args.get('kind', '')
        changes = []
        with trio.move_on_after(wait):
            changes = await self.feed.changed(after)
        return answers.json_response(
            {
                'version': max(after, self.feed.last_seen.version),
                'changes': [
                    answers.change_body(one)
                    for one in changes
                    if kind in {'', one.key.kind}
                ],
            },
        )

    async def status(self) -> Response:
        """Show the status of all members."""
        self.author()
        members = await self.queries.status()
        return answers.json_response(
            {
                'version': self.resources.current.version,
                'members': [answers.status_body(one) for one in members],
            },
        )

    async def audit(self) -> Response:
        """Show the last changes of the configuration with their operators."""
        self.author()
        changes = self.resources.current.root.changes
        bodies = [answers.audit_body(one) for one in changes]
        return answers.json_response({'changes': bodies})

    async def events(self) -> Response:
        """Show events of all members, or those about a subject."""
        self.author()
        subject = request.args.get('subject', '')
        ask = self.queries.explain if subject else self.queries.events
        found = await ask(subject)
        bodies = [answers.event_body(one) for one in found]
        return answers.json_response({'events': bodies})

    async def drain(self, name: str) -> Response:
        """Begin the graceful stop of a member."""
        self.author()
        drained = await self.queries.drain(name)
        return answers.json_response({'member': drained.member})

    def author(self) -> Author:
        """Return this request's operator; raise UnauthorizedError if none."""
        header = request.headers.get('Authorization', '')
        return Author(find_operator(self.keys, header), time.time())


def apply_response(apply_result: ApplyResult) -> Response:
    """Return the response to a change."""
    keys = [
        {'kind': key.kind, 'name': key.name} for key in apply_result.changed
    ]
    return answers.json_response(
        {'version': apply_result.version, 'changed': keys}
    )


def kind_of(plural: str) -> ResourceKind:
    """Return the kind with this plural; raise NotFoundError if unknown."""
    for kind in ResourceKind:
        if plural == plural_of(kind):
            return kind
    known = ', '.join(map(plural_of, ResourceKind))
    raise NotFoundError(
        f'no kind of resource is named {plural}; known are {known}'
    )


def plural_of(kind: ResourceKind) -> str:
    """Return the plural that names a kind's collection in paths."""
    return 'policies' if kind is ResourceKind.policy else f'{kind.value}s'


def int_argument(name: str, default: int) -> int:
    """Return a number of the query; raise BadRequestError for other text."""
    text = request.args.get(name, str(default))
    try:
        return int(text)
    except ValueError:
        raise BadRequestError(f'{name} must be a whole number') from None


async def read_json() -> dict[str, Any]:
    """Return the body, a JSON object; raise BadRequestError for others."""
    request.max_content_length = MAX_BODY_BYTES
    content = await request.get_data(cache=False)
    try:
        body = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f'the body is not JSON: {error}') from error
    if not isinstance(body, dict):
        raise BadRequestError('the body must be a JSON object')
    return body
