"""Check a configuration before it is sent, and compare it with another."""

from collections import Counter
from collections.abc import Iterator, Mapping

from attrs import fields, frozen

from jasminewheel._internal.gateway.routes import (
    CallKind,
    Route,
    RoutingTable,
)
from jasminewheel._internal.organisations.organisation import Organisation


@frozen
class ConfigurationReport:
    """Represent what is wrong with a configuration, and what it changes."""

    # Calls would fail, or the configuration would not be taken.
    errors: tuple[str, ...] = ()
    # Entries without effect, and limits that contradict each other.
    warnings: tuple[str, ...] = ()
    changes: tuple[str, ...] = ()

    def lines(self) -> Iterator[str]:
        """Yield one line for each finding."""
        for kind, found in (
            ('error', self.errors),
            ('warning', self.warnings),
            ('change', self.changes),
        ):
            yield from (f'{kind}: {text}' for text in found)

    def as_fields(self) -> dict[str, list[str]]:
        """Return the findings for output as JSON."""
        return {
            'errors': list(self.errors),
            'warnings': list(self.warnings),
            'changes': list(self.changes),
        }


def check_configuration(
    table: RoutingTable, in_force: RoutingTable | None = None
) -> ConfigurationReport:
    """Return the findings on a configuration that is to replace another."""
    errors = [*_missing_targets(table), *_shared_keys(table)]
    changes: list[str] = []
    if in_force:
        changes.extend(_changes(in_force, table))
        if table.version <= in_force.version:
            errors.append(
                f'version {table.version} is not above {in_force.version},'
                ' so entries ignore it'
            )
    warnings = [
        *_hidden_routes(table),
        *_contradictions(table),
        *_idle_rates(table),
    ]
    return ConfigurationReport(tuple(errors), tuple(warnings), tuple(changes))


def _missing_targets(table: RoutingTable) -> Iterator[str]:
    for route in table.routes:
        for share in route.shares:
            if share.target not in table.targets:
                yield f'route {route.name}: no target {share.target}'


def _shared_keys(table: RoutingTable) -> Iterator[str]:
    """Yield keys of two organisations; the key itself is not shown."""
    held = Counter(one.name for one in table.keys.values())
    for name, organisation in table.organisations.items():
        if held[name] < organisation.key_count:
            yield f'organisation {name}: one of its keys is named twice'


def _hidden_routes(table: RoutingTable) -> Iterator[str]:
    """Yield routes and shares of routes that no call can reach."""
    places = Counter((route.host, route.prefix) for route in table.routes)
    for (host, prefix), count in places.items():
        if count > 1:
            yield f'{count} routes for {host}{prefix}: one is used'
    for route in table.routes:
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield f'route {route.name}: {route.prefix} has no slash at an end'
        for share in route.shares:
            if not share.weight:
                yield f'route {route.name}: {share.target} has weight 0'


def _contradictions(table: RoutingTable) -> Iterator[str]:
    """Yield limits of a route of which one makes another one pointless."""
    for route in table.routes:
        if route.timeout_seconds < route.latency_seconds:
            yield (
                f'route {route.name}: ends after {route.timeout_seconds} s,'
                f' its aim is {route.latency_seconds} s'
            )
        if route.retains_history:
            kept = route.retention_seconds
            if kept < route.timeout_seconds:
                yield (
                    f'route {route.name}: turns are kept for {kept} s, one may'
                    f' last {route.timeout_seconds} s'
                )
        if route.kind is not CallKind.safe and route.max_attempts > 1:
            yield (
                f'route {route.name}: {route.max_attempts} attempts, but its'
                ' calls run once at most'
            )


def _idle_rates(table: RoutingTable) -> Iterator[str]:
    for organisation in table.organisations.values():
        name = organisation.name
        if organisation.burst and not organisation.rate:
            yield f'organisation {name}: a burst without a rate has no effect'
        if organisation.rate and not organisation.burst:
            yield f'organisation {name}: a rate without a burst'
        if not organisation.key_count:
            yield f'organisation {name}: no key, so it cannot call'


def _changes(before: RoutingTable, after: RoutingTable) -> Iterator[str]:
    yield f'version {before.version} to {after.version}'
    yield from _route_changes(before, after)
    yield from _organisation_changes(before.organisations, after.organisations)
    withdrawn = before.keys.keys() - after.keys.keys()
    if withdrawn:
        yield f'{len(withdrawn)} keys withdrawn: their calls get 401'
    if before.limits != after.limits:
        yield f'limits of requests: {before.limits} to {after.limits}'


def _route_changes(before: RoutingTable, after: RoutingTable) -> Iterator[str]:
    old = {route.name: route for route in before.routes}
    new = {route.name: route for route in after.routes}
    for name in sorted(old.keys() - new.keys()):
        yield f'route {name} removed: its calls get 404'
    for name in sorted(new.keys() - old.keys()):
        yield f'route {name} added for {new[name].host}{new[name].prefix}'
    for name in sorted(old.keys() & new.keys()):
        yield from _field_changes(f'route {name}', old[name], new[name])


def _organisation_changes(
    before: Mapping[str, Organisation], after: Mapping[str, Organisation]
) -> Iterator[str]:
    for name in sorted(before.keys() - after.keys()):
        yield f'organisation {name} removed: its calls get 401'
    for name in sorted(after.keys() - before.keys()):
        yield f'organisation {name} added'
    for name in sorted(before.keys() & after.keys()):
        yield from _field_changes(
            f'organisation {name}', before[name], after[name]
        )


def _field_changes(
    subject: str, before: Route | Organisation, after: Route | Organisation
) -> Iterator[str]:
    for attribute in fields(type(before)):
        name = attribute.name
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            yield f'{subject}: {name} from {old} to {new}'
