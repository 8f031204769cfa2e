"""Refuse calls under which runners end, at the entry that would send them."""

import logging
from hashlib import blake2b

import trio
from attrs import define, field

from jasminewheel._internal.crashes.crash_board import CallHistory, CrashBoard
from jasminewheel._internal.events import crashes as events
from jasminewheel._internal.gateway.call import Call

_NAME_BYTES = 16
_LOGGER = logging.getLogger(__name__)


def call_name(call: Call) -> bytes:
    """Return what identifies a call that comes again.

    Each try has its own identifier, and a turn that comes again may continue
    another one, so neither counts.
    """
    digest = blake2b(digest_size=_NAME_BYTES)
    for part in (
        call.method,
        call.host.encode(),
        call.target,
        call.key.encode(),
        call.body,
    ):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


@define(eq=False)
class CrashGuard:
    """Decide which calls are sent, and collect what others are to be told."""

    board: CrashBoard = field(factory=CrashBoard)
    untold: dict[bytes, CallHistory] = field(factory=dict)
    # Set while there is something to tell.
    has_news: trio.Event = field(factory=trio.Event)
    # Calls that were refused since the start.
    refused: int = 0

    def barred_seconds(self, call: Call, now: float) -> float:
        """Return for how long a call is to be refused; 0 if it may be sent."""
        if not self.board.calls:
            return 0
        seconds = self.board.barred_seconds(call_name(call), now)
        self.refused += bool(seconds)
        return seconds

    def record_crash(
        self, call: Call, target: str, runner: str, now: float
    ) -> None:
        """Record that a runner's connection broke off while it ran a call."""
        name = call_name(call)
        if not self.board.add_crash(name, runner, now):
            return
        events.CRASHED.log(
            _LOGGER,
            request=call.call_id,
            call=name.hex(),
            runner=runner,
            outcome=target,
            crashes=self.board.crash_count(name),
        )
        self.tell(name).add_crash(runner, now)

    def record_completion(self, call: Call, now: float) -> None:
        """Record that a runner answered a call whole."""
        if not self.board.calls:
            return
        name = call_name(call)
        if self.board.add_completion(name, now):
            events.CLEARED.log(_LOGGER, request=call.call_id, call=name.hex())
            self.tell(name).add_completion(now)

    def tell(self, name: bytes) -> CallHistory:
        """Return the history to which others are told additions."""
        self.has_news.set()
        return self.untold.setdefault(name, CallHistory())

    def take_untold(self) -> dict[bytes, CallHistory]:
        """Return what others are to be told, once."""
        taken = self.untold
        self.untold = {}
        self.has_news = trio.Event()
        return taken
