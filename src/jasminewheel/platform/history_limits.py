"""Build what limits the calls of organisations at a history."""

from collections.abc import Mapping

from attrs import define, field

from jasminewheel._internal.conversation.set_listener import SetListener
from jasminewheel._internal.organisations.peer_limiters import LimiterService
from jasminewheel._internal.organisations.rate_limiter import RateLimiter
from jasminewheel._internal.peer.server import Handler
from jasminewheel.platform.rate_listener import RateListener
from jasminewheel.platform.settings import NodeSettings

# Rates that are older are not granted from, whatever the settings say.
MAX_RATES_AGE_SECONDS = 5.0


@define(eq=False)
class HistoryLimits:
    """Represent the limiter of a history, with what feeds and serves it."""

    settings: NodeSettings
    disk_id: str
    sets: SetListener
    started_at: float
    service: LimiterService = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin without rates."""
        limiter = RateLimiter(self.started_at, self.settings.rate_tolerance)
        self.service = LimiterService(
            limiter,
            self.sets.contact.proof,
            self.disk_id,
            self.sets.holder,
            min(self.settings.revocation_seconds, MAX_RATES_AGE_SECONDS),
        )

    def listener(self) -> RateListener:
        """Return what applies the replica set and the configuration.

        It has to come after what adopts the replica set.
        """
        return RateListener(self.service)

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers by which entries ask for calls."""
        return self.service.handlers()
