"""Check that a reply is not given up while it arrives, however large it is."""

import json
from base64 import b64encode
from functools import partial
from time import monotonic

import pytest
import trio

from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.wire.gen.frame.ttypes import Hello, Proof
from jasminewheel.errors import PeerError, StoreUnavailableError
from jasminewheel.platform.store_client import (
    CALL_TIMEOUT_SECONDS,
    WATCH_SLACK_SECONDS,
    PlatformStore,
)
from tests.slow_link import SlowLink

HOST = '127.0.0.1'
KEY = b'k' * 32
VALUE_BYTES = 750000
# Of the way to the client; 8 Mbit/s.
LINK_BYTES_PER_SECOND = 1000000
WAIT_SECONDS = 0.1
TIMEOUT_SECONDS = 0.3
READ_BYTES = 4096


def _reply(fields) -> bytes:
    body = json.dumps(fields).encode()
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    return head + body


def _stored_items(count: int) -> list:
    text = b64encode(bytes(VALUE_BYTES)).decode()
    return [
        {'Key': f'op/{number}', 'Value': text, 'Revision': 5}
        for number in range(count)
    ]


async def _through_link(scenario, serve) -> None:
    """Run a scenario with the address of a server behind a slow link."""
    link = SlowLink(LINK_BYTES_PER_SECOND)
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            port = await serve(nursery)
            proxy = partial(link.proxy, host=HOST, port=port)
            listeners = await nursery.start(
                partial(trio.serve_tcp, proxy, 0, host=HOST)
            )
            name = listeners[0].socket.getsockname()
            await scenario(f'{HOST}:{name[1]}')
            nursery.cancel_scope.cancel()


def _run_store(answer: bytes, scenario, *, stalls_after=None) -> None:
    """Run a scenario with a store that sends one answer."""

    async def serve_connection(stream) -> None:
        await stream.receive_some(READ_BYTES)
        await stream.send_all(answer[:stalls_after])
        await trio.sleep_forever()

    async def serve(nursery) -> int:
        listeners = await nursery.start(
            partial(trio.serve_tcp, serve_connection, 0, host=HOST)
        )
        return listeners[0].socket.getsockname()[1]

    trio.run(_through_link, scenario, serve)


def test_pages_that_take_longer_than_a_call_are_read():
    """All keys of a large deployment over a slow link to the store."""
    items = _stored_items(3)
    assert len(items) * VALUE_BYTES > (
        CALL_TIMEOUT_SECONDS * LINK_BYTES_PER_SECOND
    )

    async def scenario(address: str) -> None:
        snapshot = await PlatformStore(address).snapshot()
        assert len(snapshot.items) == len(items)

    _run_store(_reply({'items': items, 'AsOf': 5, 'HasMore': False}), scenario)


def test_changes_that_take_longer_than_a_watch_are_read():
    """A large change over a slow link to the store."""

    async def scenario(address: str) -> None:
        found = await PlatformStore(address).changes(4, WAIT_SECONDS)
        assert len(found.written[0].value) == VALUE_BYTES

    _run_store(_reply({'events': _stored_items(1), 'AsOf': 5}), scenario)


def test_changes_that_stop_arriving_are_given_up():
    """A silent connection is noticed as soon as without any bytes."""

    async def scenario(address: str) -> None:
        started = monotonic()
        with pytest.raises(StoreUnavailableError):
            await PlatformStore(address).changes(4, WAIT_SECONDS)
        sent_seconds = VALUE_BYTES / LINK_BYTES_PER_SECOND
        bound = sent_seconds + WAIT_SECONDS + WATCH_SLACK_SECONDS
        assert monotonic() - started < bound + WATCH_SLACK_SECONDS

    _run_store(
        _reply({'events': _stored_items(1), 'AsOf': 5}),
        scenario,
        stalls_after=VALUE_BYTES,
    )


def _run_peer(reply_bytes: int, scenario, *, silent: bool = False) -> None:
    """Run a scenario with a peer that replies to any hello."""

    async def hello(_exchange, request) -> Proof:
        if silent:
            await trio.sleep_forever()
        return Proof(mac=bytes(reply_bytes))

    async def serve(nursery) -> int:
        identity = PeerIdentity('a', 'i1', 'zone')
        server = PeerServer(identity, KEY, {Hello: hello})
        return await nursery.start(server.serve, HOST, 0)

    async def with_pool(address: str) -> None:
        async with PeerPool(PeerIdentity('b', 'i2', 'zone'), KEY) as pool:
            await scenario(pool, address)

    trio.run(_through_link, with_pool, serve)


async def _ask(pool: PeerPool, address: str) -> Proof:
    return await pool.ask(
        address, Hello(nonce=b'n'), Proof, timeout_seconds=TIMEOUT_SECONDS
    )


def test_large_reply_of_a_peer_is_read():
    """A reply that arrives all the while may exceed the time for it."""

    async def scenario(pool: PeerPool, address: str) -> None:
        assert len((await _ask(pool, address)).mac) == VALUE_BYTES

    _run_peer(VALUE_BYTES, scenario)


def test_silent_peer_is_given_up_in_time():
    """A peer that sends nothing is given up at its time."""

    async def scenario(pool: PeerPool, address: str) -> None:
        started = monotonic()
        with pytest.raises(PeerError):
            await _ask(pool, address)
        assert monotonic() - started < 2 * TIMEOUT_SECONDS

    _run_peer(0, scenario, silent=True)
