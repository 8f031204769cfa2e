"""Encode operators' responses as JSON and errors as problem documents."""

import json
from http import HTTPStatus
from typing import Any

from quart import Response
from werkzeug.exceptions import HTTPException

from jasminewheel._internal.configuration.documents import resource_document
from jasminewheel._internal.configuration.root import RootChange
from jasminewheel._internal.operations.feed import WatchedChange
from jasminewheel._internal.wire.gen.operations.ttypes import (
    EventRecord,
    MemberStatus,
)
from jasminewheel.errors import CallError, JasminewheelError

PROBLEM_TYPE = 'application/problem+json'


def json_response(body: Any, status: int = HTTPStatus.OK) -> Response:
    """Return a JSON response."""
    return Response(
        json.dumps(body),
        status=status,
        content_type='application/json',
    )


def problem(error: JasminewheelError) -> Response:
    """Return the problem document of an error."""
    fields = getattr(error, 'problems', ())
    body = {
        'type': 'about:blank',
        'title': error.code.replace('-', ' '),
        'status': error.status,
        'detail': error.message,
        'code': error.code,
        'remedy': error.remedy,
        'fields': [
            {'path': one.path, 'problem': one.problem} for one in fields
        ],
    }
    return Response(
        json.dumps(body),
        status=error.status,
        content_type=PROBLEM_TYPE,
    )


def library_problem(error: HTTPException) -> Response:
    """Return the problem document for an error of the HTTP library."""
    refused = CallError(error.description or str(error))
    refused.status = error.code or HTTPStatus.INTERNAL_SERVER_ERROR
    refused.code = error.name.lower().replace(' ', '-')
    return problem(refused)


def change_body(change: WatchedChange) -> dict[str, Any]:
    """Return the JSON of a change in a watch."""
    resource = change.resource
    return {
        'type': 'put' if resource else 'delete',
        'version': change.version,
        'kind': change.key.kind,
        'name': change.key.name,
        'resource': resource_document(resource) if resource else None,
    }


def status_body(status: MemberStatus) -> dict[str, Any]:
    """Return the JSON of a member's status."""
    sections = status.sections or {}
    return {
        'member': status.member,
        'zone': status.zone,
        'region': status.region,
        'roles': status.roles,
        'leaving': status.leaving,
        'configuration_version': status.configuration_version,
        'placement_epoch': status.placement_epoch,
        'started_at': status.started_at,
        'sections': {name: json.loads(sections[name]) for name in sections},
    }


def event_body(event: EventRecord) -> dict[str, Any]:
    """Return the JSON of an event."""
    return {
        'at': event.at,
        'member': event.member,
        'event': event.number,
        'level': event.level,
        'text': event.text,
        'fields': event.fields,
    }


def audit_body(change: RootChange) -> dict[str, Any]:
    """Return the JSON of a configuration change in the audit."""
    return {
        'version': change.version,
        'operator': change.author.operator,
        'at': change.author.at,
        'keys': list(change.keys),
        'count': change.count,
    }
