"""Decide for which organisation a call is, and whether its key still holds."""

import math

from attrs import define

from jasminewheel._internal.gateway.routes import Route, RoutingTable
from jasminewheel._internal.organisations.organisation import Organisation
from jasminewheel._internal.store.proof import ContentsProof
from jasminewheel.errors import UnauthorizedError, UnavailableError

# Another entry may know the newest configuration.
STALE_RETRY_SECONDS = 0.15


@define(eq=False)
class OrganisationGate:
    """Admit calls by their keys.

    A key that was withdrawn must not be accepted by an entry that is cut off
    or was suspended, so an entry accepts keys only while it can prove that it
    knew the newest configuration a short time ago.
    """

    proof: ContentsProof
    # How old the proof may be.
    max_age_seconds: float = math.inf

    def identify(
        self, table: RoutingTable, route: Route, key: str, now: float
    ) -> Organisation | None:
        """Return the organisation of a call; None where none is needed.

        Raise UnauthorizedError if no organisation has the key, and
        UnavailableError if it may have been withdrawn. The time is that of
        boot_seconds.
        """
        if not table.organisations or route.public:
            return None
        age = self.proof.age(now)
        if age > self.max_age_seconds:
            raise UnavailableError(
                f'keys may have been withdrawn in the last {age:.2f} s',
                retry_after_seconds=STALE_RETRY_SECONDS,
            )
        organisation = table.keys.get(key)
        if organisation is None:
            raise UnauthorizedError('the key belongs to no organisation')
        return organisation


def open_gate() -> OrganisationGate:
    """Return a gate that accepts keys however old its knowledge is."""
    return OrganisationGate(ContentsProof())
