"""Apply changes of the platform's keys to the product's models."""

import logging
from collections.abc import Mapping

import trio
from attrs import define

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.gateway import (
    ConfigurationSource,
    RoutesHolder,
)
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.web.server import WebServer
from jasminewheel.errors import ConfigurationError
from jasminewheel.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from jasminewheel.platform.runner_list import RUNNER_PREFIX, decode_runner

_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class PlatformListener(MirrorListener):
    """Update routes, limits and runners from the platform's keys."""

    routes: RoutesHolder
    directory: RunnerDirectory
    web: WebServer

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Apply the changed keys."""
        if CONFIGURATION_KEY in keys and CONFIGURATION_KEY in items:
            self.apply_configuration(items[CONFIGURATION_KEY])
        for key in keys:
            if key.startswith(RUNNER_PREFIX):
                self.apply_runner(key, items.get(key))

    def apply_configuration(self, stored: StoreItem) -> None:
        """Apply a configuration unless it is unreadable or older."""
        try:
            table = decode_configuration(stored.value)
        except ConfigurationError as error:
            events.ROUTES_SKIPPED.log(_LOGGER, problem=error)
            return
        read_age = self.directory.contact.read_age(trio.current_time())
        source = ConfigurationSource(
            stored.revision, len(stored.value), read_age
        )
        if self.routes.adopt(table, source):
            self.web.limits = table.limits

    def apply_runner(self, key: str, stored: StoreItem | None) -> None:
        """Add, update or remove one runner."""
        runner_id = key.removeprefix(RUNNER_PREFIX)
        runner = decode_runner(stored) if stored else None
        if runner:
            self.directory.put(runner)
        elif stored:
            # The key is present, so its lease has not expired: the runner is
            # removed at once, without waiting for the list to be settled.
            self.directory.remove(runner_id)
        else:
            self.directory.unlist(runner_id, trio.current_time())

    def store_settled(self) -> None:
        """Drop the runners that have not registered again."""
        self.directory.remove_unlisted(trio.current_time())
