"""Serve stand-ins in the process of a test."""

from contextlib import asynccontextmanager
from functools import partial

import trio

from jasminewheel.commands.stand_ins import serve_stand_in


@asynccontextmanager
async def serving(stand_in):
    """Serve the stand-in on a free port and yield its URL."""
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            partial(serve_stand_in, stand_in, stand_in.settings, stop),
        )
        yield f'http://127.0.0.1:{port}'
        nursery.cancel_scope.cancel()
