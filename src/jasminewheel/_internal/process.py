"""Run a process until a signal stops it, and print errors to stderr."""

import sys
from collections.abc import Awaitable, Callable

import trio

from jasminewheel._internal.observability.tracing import stop_tracing
from jasminewheel._internal.stop_signals import serve_until_stopped
from jasminewheel.errors import JasminewheelError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def run_process(serve: Callable[[trio.Event], Awaitable[None]]) -> int:
    """Run serve with an event set on SIGTERM or SIGINT; return the exit code.

    Errors of the product are printed, also those in nested exception groups.
    """
    exit_code = EXIT_OK
    try:
        trio.run(serve_until_stopped, serve)
    except* JasminewheelError as group:
        exit_code = EXIT_FAILED
        for error in _leaves(group):
            sys.stderr.write(f'error: {error}\n')
    finally:
        stop_tracing()
    return exit_code


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(_leaves(error))
        else:
            found.append(error)
    return found
