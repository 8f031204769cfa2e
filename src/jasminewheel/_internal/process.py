"""Run a process until it is asked to stop, and report errors to its user."""

import logging
import signal
import sys
from collections.abc import Awaitable, Callable

import trio

from jasminewheel._internal.events import frame
from jasminewheel._internal.observability.tracing import stop_tracing
from jasminewheel.errors import JasminewheelError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

_LOGGER = logging.getLogger(__name__)


def run_process(serve: Callable[[trio.Event], Awaitable[None]]) -> int:
    """Run serve with an event set on SIGTERM; return the exit code."""
    exit_code = EXIT_OK
    try:
        trio.run(_serve_until_stopped, serve)
    except* JasminewheelError as group:
        exit_code = EXIT_FAILED
        for error in _leaves(group):
            sys.stderr.write(f'error: {error}\n')
    finally:
        stop_tracing()
    return exit_code


async def _serve_until_stopped(
    serve: Callable[[trio.Event], Awaitable[None]],
) -> None:
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_signals, signals, stop)
            await serve(stop)
            nursery.cancel_scope.cancel()
    frame.STOPPED.log(_LOGGER)


async def _watch_signals(signals, stop: trio.Event) -> None:
    async for number in signals:
        frame.STOPPING.log(_LOGGER, signal=signal.Signals(number).name)
        stop.set()


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(_leaves(error))
        else:
            found.append(error)
    return found
