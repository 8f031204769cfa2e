"""Represent the configuration in force: which target serves which request."""

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

from jasminewheel._internal.organisations.organisation import Organisation
from jasminewheel._internal.web.request_parser import RequestLimits


class CallKind(Enum):
    """Define whether a call may be repeated and how it is answered."""

    # May run more than once.
    safe = 'safe'
    # Runs at most once.
    unsafe = 'unsafe'
    # Runs at most once and is answered by a stream of events.
    streaming = 'streaming'


@frozen
class TargetShare:
    """Represent the share of a route's programs that go to a target."""

    target: str
    weight: float


@frozen
class Route:
    """Define how requests for a host and path prefix are handled."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[TargetShare, ...]
    timeout_seconds: float
    priority: int
    max_attempts: int
    retains_history: bool = False
    retention_seconds: float = 0
    # Within which a call should be answered; zero if the operators name none.
    latency_seconds: float = 0
    # Whether a runner serves a line of turns faster that has served it before.
    prefers_known_runner: bool = False
    # Whether callers need no key.
    public: bool = False

    def target_for(self, point: float) -> str:
        """Return the target whose share covers a point from 0 to 1."""
        total = sum(share.weight for share in self.shares)
        cumulative: float = 0
        for share in self.shares:
            cumulative += share.weight
            if point * total < cumulative:
                return share.target
        return self.shares[-1].target


@frozen
class TargetProfile:
    """Represent an operator's declarations about a target."""

    name: str
    tokens_per_event: int = 1


@frozen
class RoutingTable:
    """Represent one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    targets: Mapping[str, TargetProfile]
    limits: RequestLimits
    organisations: Mapping[str, Organisation] = field(factory=dict)
    # The organisation of each key; callers need one if there are any
    # organisations.
    keys: Mapping[str, Organisation] = field(factory=dict)
    by_host: Mapping[str, list[Route]] = field(init=False)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix."""
        routes = self.by_host.get(host, ())
        return next(
            (route for route in routes if path.startswith(route.prefix)), None
        )

    @by_host.default
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        # Longest prefix first, so that the first match is the longest.
        by_length = sorted(self.routes, key=lambda route: len(route.prefix))
        for route in reversed(by_length):
            by_host.setdefault(route.host, []).append(route)
        return by_host


NO_ROUTES = RoutingTable(0, (), {}, RequestLimits())
