"""Check the product's clients against servers whose answers never end."""

from contextlib import asynccontextmanager
from types import MappingProxyType

import pytest
import trio

from jasminewheel._internal.membership.vm_list import HttpVmList
from jasminewheel._internal.store.client import HttpStore
from jasminewheel._internal.targets.engine import EngineClient, EngineRequest
from jasminewheel._internal.targets.service import ServiceClient
from jasminewheel.errors import (
    StoreUnavailableError,
    TargetFailedError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict
from tests.endless_server import EndlessServer

# Allowance for data in the kernel's socket buffers.
SOCKET_BUFFER_BYTES = 2097152
# The clients' size limit of a whole answer.
ANSWER_BYTES = 16777216
FAILURE_TIMEOUT_SECONDS = 3.5
CLOSE_TIMEOUT_SECONDS = 1.0
CHUNK = b'1000\r\n%b\r\n' % (b'a' * 4096)
LINES = b'1000\r\n%b\r\n' % (b'data: a\n' * 512)
OK = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
FAILED = b'HTTP/1.1 500 Bad\r\nTransfer-Encoding: chunked\r\n\r\n'
ENDLESS = MappingProxyType(
    {
        'field': (b'HTTP/1.1 200 OK\r\nX: ', b'a'),
        'chunks': (OK, CHUNK),
        'no length': (b'HTTP/1.1 200 OK\r\n\r\n', b'a'),
        'chunk extension': (b'%b1;' % OK, b'a'),
        'failure': (FAILED, CHUNK),
    }
)
NESTED = b'{"items":%b%b}' % (b'[' * 100000, b']' * 100000)


def _get(store: HttpStore):
    return store.get('key')


def _rows(vms: HttpVmList):
    return vms.rows()


def _look(service: ServiceClient):
    return service.call('look', {}, 'q1', FAILURE_TIMEOUT_SECONDS)


def _pins(engine: EngineClient):
    return engine.pins()


def _each(cases: dict):
    return pytest.mark.parametrize(
        ('start', 'repeated'), cases.values(), ids=cases.keys()
    )


@asynccontextmanager
async def _serving(server: EndlessServer):
    """Serve in time; check that the client then closes its connection."""
    async with trio.open_nursery() as nursery:
        address = await server.serve(nursery)
        with trio.fail_after(FAILURE_TIMEOUT_SECONDS):
            yield f'http://{address}'
        await server.wait_closed(CLOSE_TIMEOUT_SECONDS)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('open_client', 'ask', 'error', 'verdict'),
    [
        (HttpStore, _get, StoreUnavailableError, None),
        (HttpVmList, _rows, UnavailableError, Verdict.not_run),
        (ServiceClient, _look, TargetFailedError, Verdict.may_have_run),
        (EngineClient, _pins, TargetFailedError, Verdict.may_have_run),
    ],
    ids=['store', 'list of VMs', 'service', 'engine'],
)
@_each(ENDLESS)
def test_endless_answer_fails_in_time(
    start, repeated, open_client, ask, error, verdict
):
    """The caller gets an error with a verdict; the connection is closed."""
    server = EndlessServer(start, repeated)

    async def scenario() -> None:
        async with _serving(server) as url, open_client(url) as client:
            with pytest.raises(error) as caught:
                await ask(client)
            assert getattr(caught.value, 'verdict', None) is verdict

    trio.run(scenario)
    assert server.max_sent <= ANSWER_BYTES + SOCKET_BUFFER_BYTES


async def _read(client: EngineClient, request: EngineRequest) -> None:
    async with client.generate(request) as answer:
        async for _ in answer:
            await trio.sleep(0)


@pytest.mark.parametrize('repeated', [CHUNK, LINES], ids=['a line', 'an event'])
def test_endless_event_may_have_run(repeated):
    """The size of one engine event is limited, in one line or many."""
    server = EndlessServer(OK, repeated)
    messages = ({'role': 'user', 'content': 'a'},)
    request = EngineRequest('q1', 'guide', messages, 12)

    async def scenario() -> None:
        async with _serving(server) as url, EngineClient(url) as client:
            with pytest.raises(TargetFailedError) as caught:
                await _read(client, request)
            assert caught.value.verdict is Verdict.may_have_run

    trio.run(scenario)
    assert server.max_sent <= ANSWER_BYTES + SOCKET_BUFFER_BYTES


def test_deeply_nested_store_reply_is_unavailable():
    """JSON that exceeds the recursion limit raises StoreUnavailableError."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(NESTED)
    server = EndlessServer(b'%b%b' % (head, NESTED), b'a')

    async def scenario() -> None:
        async with _serving(server) as url, HttpStore(url) as store:
            with pytest.raises(StoreUnavailableError):
                await store.list('')

    trio.run(scenario)
