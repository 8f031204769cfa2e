"""Apply the operators' rates of organisations to the limiter of a history."""

import logging
from collections.abc import Mapping

import trio
from attrs import define

from jasminewheel._internal.events import organisations as events
from jasminewheel._internal.organisations.peer_limiters import LimiterService
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.port import StoreItem
from jasminewheel.errors import ConfigurationError
from jasminewheel.platform.configuration import (
    CONFIGURATION_KEY,
    decode_organisations,
)

_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class RateListener(MirrorListener):
    """Update the rates from the platform's configuration."""

    service: LimiterService

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Apply a changed replica set and configuration.

        The former rates stay in force if the configuration is unreadable.
        """
        self.service.follow_set(trio.current_time())
        if CONFIGURATION_KEY not in keys or CONFIGURATION_KEY not in items:
            return
        stored = items[CONFIGURATION_KEY]
        try:
            organisations = decode_organisations(stored.value)
        except ConfigurationError as error:
            events.RATES_SKIPPED.log(_LOGGER, problem=error)
            return
        limiter = self.service.limiter
        if organisations or limiter.organisations:
            events.RATES_ADOPTED.log(
                _LOGGER,
                revision=stored.revision,
                organisations=len(organisations),
            )
        limiter.apply_rates(organisations)
