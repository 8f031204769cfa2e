"""Build the gateway of an entry from its components."""

import trio

from jasminewheel._internal.conversation.client import ConversationClient
from jasminewheel._internal.gateway.attempts import RetryingSender
from jasminewheel._internal.gateway.choice import RunnerChoice
from jasminewheel._internal.gateway.gateway import Gateway
from jasminewheel._internal.gateway.plain_flow import PlainFlow
from jasminewheel._internal.gateway.turn_flow import TurnFlow
from jasminewheel.platform.entry_parts import EntryParts
from jasminewheel.platform.runner_protocol import PlatformRunners


def build_gateway(parts: EntryParts, nursery: trio.Nursery) -> Gateway:
    """Return the gateway that answers calls."""
    sender = RetryingSender(
        RunnerChoice(
            parts.directory,
            parts.peers.distance,
            limits=parts.peers.limits(),
        ),
        PlatformRunners(parts.connections),
    )
    conversations = ConversationClient(parts.peers.quorum, nursery)
    return Gateway(
        parts.routes,
        PlainFlow(sender),
        TurnFlow(sender, conversations),
    )
