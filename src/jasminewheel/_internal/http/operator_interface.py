"""Provide the operators' interface of a process."""

from collections.abc import Mapping
from typing import Self

from attrs import define
from quart import Blueprint

from jasminewheel._internal.fleet.fleet import Fleet
from jasminewheel._internal.http.operator_keys import OperatorKey
from jasminewheel._internal.http.operators import OperatorsApi
from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.operations.feed import ChangeFeed
from jasminewheel._internal.operations.fleet_queries import FleetQueries
from jasminewheel._internal.operations.member import MemberOperations
from jasminewheel._internal.operations.resources import ResourceOperations
from jasminewheel._internal.peer.server import Handler


@define(eq=False)
class OperatorInterface:
    """Provide operators' HTTP routes and the handlers of peers' requests.

    Parts of the process add their status to `member.sources` and their
    decisions to `member.decision_sources`; `member.drain` begins a graceful
    stop.
    """

    member: MemberOperations
    api: OperatorsApi

    @classmethod
    def open(
        cls,
        fleet: Fleet,
        peer_client: PeerClient,
        member: MemberOperations,
        keys: tuple[OperatorKey, ...],
    ) -> Self:
        """Return the operators' interface of a process."""
        api = OperatorsApi(
            keys,
            ResourceOperations(fleet),
            ChangeFeed(fleet.spread.configuration),
            FleetQueries(member, peer_client),
        )
        return cls(member, api)

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers of peers' requests."""
        return self.member.handlers()

    def blueprint(self) -> Blueprint:
        """Return the HTTP routes."""
        return self.api.blueprint()
