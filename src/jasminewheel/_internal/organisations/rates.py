"""Define how calls are held to the rates of their organisations."""

from typing import Protocol

from jasminewheel._internal.organisations.organisation import Organisation


class CallRates(Protocol):
    """Hold calls to the rates of their organisations."""

    async def take(self, organisation: Organisation) -> None:
        """Take one call; raise CallError if none is left or can be had."""


class UnlimitedRates:
    """Let all calls pass, where nothing limits them."""

    async def take(self, organisation: Organisation) -> None:
        """Let a call pass."""
