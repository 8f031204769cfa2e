"""Decode the operators' configuration.

What the platform calls a service is a target here.
"""

import logging
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.routes import (
    CallKind,
    Route,
    RoutingTable,
    TargetProfile,
    TargetShare,
)
from jasminewheel._internal.organisations.organisation import Organisation
from jasminewheel._internal.store.documents import (
    DECODE_ERRORS,
    decode_document,
    problem_text,
    shortened,
)
from jasminewheel._internal.web.request_parser import RequestLimits
from jasminewheel.errors import ConfigurationError

CONFIGURATION_KEY = 'op/config'
# A route of another kind is treated as unsafe: its calls are never retried.
_KINDS = MappingProxyType({kind.value: kind for kind in CallKind})
_MS_PER_SECOND = 1000
_LOGGER = logging.getLogger(__name__)


def decode_configuration(stored: bytes) -> RoutingTable:
    """Return the configuration; raise ConfigurationError if unreadable.

    A route that cannot be decoded is logged and left out.
    """
    try:
        fields = decode_document(stored)
        return _table(fields)
    except DECODE_ERRORS as error:
        raise ConfigurationError(
            f'cannot decode the configuration: {problem_text(error)}'
        ) from error


def _table(fields: Mapping[str, Any]) -> RoutingTable:
    targets = [_target(one) for one in fields['Services']]
    return RoutingTable(
        int(fields['Version']),
        tuple(filter(None, map(_route_or_none, fields['Routes']))),
        {target.name: target for target in targets},
        _limits(fields.get('Limits') or {}),
        *_organisations(fields),
    )


def decode_organisations(stored: bytes) -> Mapping[str, Organisation]:
    """Return the organisations alone, by name.

    Raise ConfigurationError if the configuration is unreadable.
    """
    try:
        return _organisations(decode_document(stored))[0]
    except DECODE_ERRORS as error:
        raise ConfigurationError(
            f'cannot decode the configuration: {problem_text(error)}'
        ) from error


def _organisations(
    fields: Mapping[str, Any],
) -> tuple[dict[str, Organisation], dict[str, Organisation]]:
    """Return the organisations by name and by key.

    The platform calls them tenants.
    """
    by_name: dict[str, Organisation] = {}
    by_key: dict[str, Organisation] = {}
    for row in fields.get('Tenants') or ():
        organisation = _organisation(row)
        by_name[organisation.name] = organisation
        for key in row.get('ApiKeys') or ():
            by_key[str(key)] = organisation
    return by_name, by_key


def _organisation(fields: Mapping[str, Any]) -> Organisation:
    priority = fields.get('Priority')
    return Organisation(
        str(fields['Name']),
        float(fields.get('RatePerS') or 0),
        float(fields.get('Burst') or 0),
        None if priority is None else int(priority),
        len(fields.get('ApiKeys') or ()),
    )


def _route_or_none(fields: Any) -> Route | None:
    try:
        return _route(fields)
    except DECODE_ERRORS as error:
        events.ROUTE_SKIPPED.log(
            _LOGGER, problem=problem_text(error), route=shortened(fields)
        )
        return None


def _route(fields: Mapping[str, Any]) -> Route:
    return Route(
        name=str(fields['Name']),
        host=str(fields['Host']).lower(),
        prefix=str(fields['Prefix']),
        kind=_KINDS.get(fields['Kind'], CallKind.unsafe),
        shares=_shares(fields),
        timeout_seconds=fields['TimeoutMs'] / _MS_PER_SECOND,
        priority=int(fields.get('Priority', 0)),
        max_attempts=int(fields.get('MaxAttempts', 1)),
        retains_history=bool(fields.get('RetainHistory')),
        retention_seconds=float(fields.get('RetentionS') or 0),
        prefers_known_runner=bool(fields.get('StickySessions')),
        public=bool(fields.get('Public')),
        latency_seconds=(fields.get('TargetLatencyMs') or 0) / _MS_PER_SECOND,
    )


def _shares(fields: Mapping[str, Any]) -> tuple[TargetShare, ...]:
    split = fields.get('TrafficSplit')
    if not split:
        return (TargetShare(str(fields['Service']), 1),)
    return tuple(
        TargetShare(str(share['Service']), float(share['Weight']))
        for share in split
    )


def _target(fields: Mapping[str, Any]) -> TargetProfile:
    engine = fields.get('Engine') or {}
    return TargetProfile(
        str(fields['Name']),
        int(engine.get('StreamStride') or 1),
    )


def _limits(fields: Mapping[str, Any]) -> RequestLimits:
    standard = RequestLimits()
    header_ms = fields.get('HeaderTimeoutMs')
    idle_ms = fields.get('IdleTimeoutMs')
    return RequestLimits(
        int(fields.get('MaxHeaderBytes') or standard.header_bytes),
        int(fields.get('MaxBodyBytes') or standard.body_bytes),
        header_ms / _MS_PER_SECOND if header_ms else standard.header_seconds,
        idle_ms / _MS_PER_SECOND if idle_ms else standard.idle_seconds,
    )
