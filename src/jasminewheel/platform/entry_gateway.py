"""Build the gateway of an entry from its components."""

import trio

from jasminewheel._internal.conversation.client import ConversationClient
from jasminewheel._internal.crashes.crash_exchange import CrashExchange
from jasminewheel._internal.gateway.attempts import RetryingSender
from jasminewheel._internal.gateway.choice import RunnerChoice
from jasminewheel._internal.gateway.gateway import Gateway
from jasminewheel._internal.gateway.load_exchange import LoadExchange
from jasminewheel._internal.gateway.plain_flow import PlainFlow
from jasminewheel._internal.gateway.turn_flow import TurnFlow
from jasminewheel._internal.organisations.gate import OrganisationGate
from jasminewheel._internal.organisations.peer_limiters import PeerLimiters
from jasminewheel._internal.organisations.rate_client import RateClient
from jasminewheel.platform.entry_parts import EntryParts
from jasminewheel.platform.runner_protocol import PlatformRunners


def build_gateway(parts: EntryParts, nursery: trio.Nursery) -> Gateway:
    """Return the gateway that answers calls."""
    choice = RunnerChoice(
        parts.directory,
        parts.peers.distance,
        limits=parts.peers.limits(),
    )
    limiters = PeerLimiters(parts.pool, parts.peers.sets, parts.peers.distance)
    parts.rates = RateClient(limiters)
    sender = RetryingSender(
        choice, PlatformRunners(parts.connections), parts.rates, parts.crashes
    )
    crash_exchange = CrashExchange(
        parts.pool, parts.peers.sets, parts.peers.distance, parts.crashes
    )
    nursery.start_soon(crash_exchange.run)
    loads = LoadExchange(
        parts.pool,
        parts.peers.sets,
        parts.peers.distance,
        parts.directory,
        choice.prompts.times,
    )
    nursery.start_soon(loads.run)
    conversations = ConversationClient(parts.peers.quorum, nursery)
    return Gateway(
        parts.routes,
        PlainFlow(sender),
        TurnFlow(sender, conversations),
        OrganisationGate(
            parts.directory.contact.proof, parts.settings.revocation_seconds
        ),
    )
