"""Run until a signal requests a stop."""

import logging
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from jasminewheel._internal.events import frame

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_LOGGER = logging.getLogger(__name__)


async def serve_until_stopped(
    serve: Callable[[trio.Event], Awaitable[None]],
    stop_signals: tuple[signal.Signals, ...] = STOP_SIGNALS,
) -> None:
    """Run serve with an event that is set when a signal requests a stop."""
    stop = trio.Event()
    with trio.open_signal_receiver(*stop_signals) as received:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(handle_signals, received, stop)
            await serve(stop)
            nursery.cancel_scope.cancel()
    frame.STOPPED.log(_LOGGER)


async def handle_signals(
    received: AsyncIterator[int], stop: trio.Event
) -> None:
    """Set the stop event; on SIGHUP only log that the settings changed."""
    async for number in received:
        if number == signal.SIGHUP:
            frame.RELOADED.log(_LOGGER)
        else:
            frame.STOPPING.log(_LOGGER, signal=signal.Signals(number).name)
            stop.set()
