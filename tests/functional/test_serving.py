"""Check graceful shutdown of a served application."""

from functools import partial

import httpx
import pytest
import trio
from quart_trio import QuartTrio

from jasminewheel._internal.http.serving import serve_app


class Server:
    """Serve one response whose second part waits for `release`."""

    def __init__(self):
        """Make the application."""
        self.app = QuartTrio(__name__)
        self.app.add_url_rule('/slow', view_func=self.slow)
        self.entered = trio.Event()
        self.release = trio.Event()
        self.shutdown = trio.Event()

    async def slow(self):
        """Stream a response in two parts."""

        async def parts():
            yield b'first '
            self.entered.set()
            await self.release.wait()
            yield b'second'

        return parts(), 200


async def wait_until_refused(port):
    """Open new connections until one is refused."""
    while True:
        async with httpx.AsyncClient() as late:
            try:
                await late.get(f'http://127.0.0.1:{port}/none')
            except httpx.ConnectError:
                return


async def serve_and_ask(server, grace_seconds, release_after_shutdown):
    """Return the response to a request during which shutdown begins."""
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            partial(
                serve_app,
                server.app,
                '127.0.0.1',
                0,
                shutdown=server.shutdown,
                grace_seconds=grace_seconds,
            ),
        )

        async def stop():
            await server.entered.wait()
            server.shutdown.set()
            if release_after_shutdown:
                await wait_until_refused(port)
                server.release.set()

        nursery.start_soon(stop)
        async with httpx.AsyncClient() as client:
            answer = await client.get(f'http://127.0.0.1:{port}/slow')
    return answer.text


def test_shutdown_finishes_request():
    """A request in progress completes; new connections are refused."""
    answer = trio.run(serve_and_ask, Server(), 30, True)
    assert answer == 'first second'


def test_grace_is_bounded():
    """A request that never ends is aborted after the grace period."""
    with pytest.RaisesGroup(httpx.RemoteProtocolError, flatten_subgroups=True):
        trio.run(serve_and_ask, Server(), 0.2, False)
