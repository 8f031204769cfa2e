"""Check that servers that send endless answers do limited harm."""

import json
import logging
import tracemalloc
from functools import partial
from types import MappingProxyType

import pytest
import trio

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.web.server import WebServer
from jasminewheel.errors import StoreUnavailableError
from jasminewheel.platform.store_client import PlatformStore
from tests.endless_server import EndlessServer
from tests.free_port import HOST
from tests.platform_fleet import platform_fleet

# Bytes that the kernel of a test machine may buffer.
KERNEL_BYTES = 2097152
# Limit of an answer.
ANSWER_BYTES = 8388608
# Limit of the bytes before an answer.
UNMATCHED_BYTES = 1048576
# Limit of an answer that consists mostly of chunk sizes.
FRAMED_BYTES = 1048576
STORE_REPLY_BYTES = 16777216
# Less than the deadline that the callers of these tests set.
ANSWER_TIMEOUT_SECONDS = 2.5
CALLER_MILLISECONDS = '6000'
CLOSE_SECONDS = 2.0
OWN = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n'
FAILURE = b'HTTP/1.1 500 Bad\r\nRequest-Id: {id}\r\n'
OWN_CHUNKED = b'%b%b' % (OWN, CHUNKED)
CHUNK = b'1000\r\n%b\r\n' % (b'a' * 4096)
HUGE = b'Content-Length: 1000000000000\r\n\r\n'
OWN_HUGE = b'%b%b' % (OWN, HUGE)
REFUSAL_CHUNKED = b'%b%b' % (REFUSAL, CHUNKED)
REFUSAL_HUGE = b'%b%b' % (REFUSAL, HUGE)
FAILURE_CHUNKED = b'%b%b' % (FAILURE, CHUNKED)

HEADS = MappingProxyType(
    {
        'field': (b'HTTP/1.1 200 OK\r\nX: ', b'a'),
        'field name': (b'HTTP/1.1 200 OK\r\n', b'a'),
        'reason': (b'HTTP/1.1 200 ', b'a'),
        'fields': (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n'),
        'empty lines': (b'', b'\r\n'),
        'no http': (b'', b'\x00\xff'),
        'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'foreign answers': (b'', b'%bContent-Length: 1\r\n\r\na' % OTHER),
        'foreign bodiless': (b'', b'HTTP/1.1 204 No\r\nRequest-Id: o\r\n\r\n'),
        'foreign body': (b'%b%b' % (OTHER, CHUNKED), CHUNK),
        'foreign length': (b'%b%b' % (OTHER, HUGE), b'a'),
    }
)
BODIES = MappingProxyType(
    {
        'false length': (OWN_HUGE, b'a'),
        'no length': (b'%b\r\n' % OWN, b'a'),
        'chunks': (OWN_CHUNKED, CHUNK),
        'small chunks': (OWN_CHUNKED, b'2\r\nab\r\n'),
        'chunk extension': (b'%b1;' % OWN_CHUNKED, b'a'),
        'trailers': (b'%b0\r\n' % OWN_CHUNKED, b'X: y\r\n'),
        'trailer': (b'%b0\r\nX: ' % OWN_CHUNKED, b'y'),
    }
)
EVENTS = MappingProxyType(
    {
        'one event': (OWN_CHUNKED, CHUNK),
        'one event in small chunks': (OWN_CHUNKED, b'2\r\nab\r\n'),
        'small events': (OWN_CHUNKED, b'9\r\ndata: w\n\n\r\n'),
        'no events': (OWN_CHUNKED, b'2\r\n\n\n\r\n'),
        'chunk extension': (b'%b1;' % OWN_CHUNKED, b'a'),
        'no length': (b'%b\r\n' % OWN, b'data: w\n\n'),
        'false length': (OWN_HUGE, b'a'),
    }
)
STORE_CASES = MappingProxyType(
    {
        name: case
        for name, case in (HEADS | BODIES).items()
        # The store's replies carry no request identifier, so that these cases
        # are valid replies.
        if name not in {'foreign answers', 'foreign bodiless'}
    }
)
# 3 MiB.
VALUE = 'AAAA' * 1048576


def _each(cases: dict):
    return pytest.mark.parametrize(
        ('start', 'repeated'), cases.values(), ids=cases.keys()
    )


@pytest.fixture
def run_scenario(tmp_path):
    """Run a scenario with an entry, three histories and an endless runner."""

    async def run(scenario, endless, healthy) -> None:
        async with platform_fleet(tmp_path) as fleet:
            fleet.configure(TimeoutMs=8000)
            address = await endless.serve(fleet.nursery)
            fleet.list_runner('desk-endless', 'desk', address)
            fleet.list_runner('model-endless', 'model', address)
            if healthy:
                await fleet.add_runner('desk-sound', 'desk')
            await fleet.start_histories()
            entry = await fleet.start_entry()
            await scenario(fleet, entry)

    def start(scenario, endless: EndlessServer, *, healthy=False) -> None:
        trio.run(partial(run, scenario, endless, healthy))

    return start


async def _ask(fleet, entry, path: str, body: bytes = b'x', **headers):
    """Send one request; fail if it is not answered in time."""
    waits = {'Deadline_Ms': CALLER_MILLISECONDS, **headers}
    with trio.fail_after(ANSWER_TIMEOUT_SECONDS):
        return await fleet.ask(entry, path, body, **waits)


async def _statuses(fleet, entry, path: str, server: EndlessServer) -> set[int]:
    """Return the statuses of six or more calls, one at least to the server."""
    found: list[int] = []
    before = server.requests
    while len(found) < 6 or server.requests == before:
        body = b'x' if path.startswith('/book/') else b''
        answered = await _ask(fleet, entry, path, body)
        found.append(answered.status)
        assert answered.body == b'did %b' % path.encode()
    return set(found)


def _ask_turn(fleet, entry, text: bytes, **headers):
    standard = {'Program_Id': 'p1', 'Token_Usage': '10,8', 'Session_Id': 's'}
    return _ask(fleet, entry, '/turns/a', text, **{**standard, **headers})


async def _check_cut_off(
    server: EndlessServer, max_read: int = ANSWER_BYTES
) -> None:
    await server.wait_closed(CLOSE_SECONDS)
    assert server.max_sent <= max_read + KERNEL_BYTES


@_each(HEADS | BODIES)
def test_unsafe_call_may_have_run_after_bytes_without_end(
    run_scenario, start, repeated
):
    """The caller soon learns that the call may have run; nothing is retried.

    The connection to the server is closed.
    """
    server = EndlessServer(start, repeated)

    async def scenario(fleet, entry) -> None:
        answered = await _ask(fleet, entry, '/book/a')
        assert answered.status == 502
        assert server.requests == 1
        await _check_cut_off(server)

    run_scenario(scenario, server)


@_each(HEADS | BODIES)
def test_safe_call_goes_elsewhere_after_bytes_without_end(
    run_scenario, start, repeated
):
    """A call that may be repeated is answered by another runner."""
    server = EndlessServer(start, repeated)

    async def scenario(fleet, entry) -> None:
        assert await _statuses(fleet, entry, '/look/a', server) == {200}
        await _check_cut_off(server)

    run_scenario(scenario, server, healthy=True)


@_each(HEADS)
def test_turn_may_have_run_after_a_head_without_end(
    run_scenario, start, repeated
):
    """A turn whose answer never begins fails, and is sent only once."""
    server = EndlessServer(start, repeated)

    async def scenario(fleet, entry) -> None:
        answered = await _ask_turn(fleet, entry, b'one.')
        assert answered.status == 502
        assert server.requests == 1
        await _check_cut_off(server, UNMATCHED_BYTES)

    run_scenario(scenario, server)


@_each(EVENTS)
def test_stream_without_end_is_cut_within_its_tokens(
    run_scenario, start, repeated
):
    """The caller gets at most the turn's tokens, and the turn is not stored."""
    server = EndlessServer(start, repeated)

    async def scenario(fleet, entry) -> None:
        answered = await _ask_turn(fleet, entry, b'one.', Token_Budget='19')
        assert (answered.status, answered.whole) == (200, False)
        assert answered.body.count(b'\n\n') <= 4
        assert len(answered.body) < 1000
        await _check_cut_off(server)
        unknown = await _ask_turn(fleet, entry, b'two.', Previous_Turn='q1')
        assert unknown.status == 404

    run_scenario(scenario, server)


def test_failed_turn_with_a_body_without_end_is_cut_off(run_scenario):
    """The body of a failed turn, which is no stream, is limited too."""
    server = EndlessServer(FAILURE_CHUNKED, CHUNK)

    async def scenario(fleet, entry) -> None:
        assert (await _ask_turn(fleet, entry, b'one.')).status == 502
        await _check_cut_off(server)

    run_scenario(scenario, server)


@pytest.mark.parametrize('pause_seconds', [0, 0.02])
@_each(
    {
        'refusal': (REFUSAL_CHUNKED, CHUNK),
        'refusal of false length': (REFUSAL_HUGE, b'a'),
    }
)
def test_refusal_without_end_leaves_its_call_repeatable(
    run_scenario, start, repeated, pause_seconds
):
    """A refused call goes to another runner, or is reported as not run."""
    server = EndlessServer(start, repeated, pause_seconds)

    async def scenario(fleet, entry) -> None:
        refused = await _ask(fleet, entry, '/book/a')
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        refused = await _ask_turn(fleet, entry, b'one.', Token_Budget='19')
        assert refused.status == 503
        await _check_cut_off(server, UNMATCHED_BYTES)
        await fleet.add_runner('desk-sound', 'desk')
        await trio.sleep(0.3)
        assert await _statuses(fleet, entry, '/book/a', server) == {200}
        await _check_cut_off(server, UNMATCHED_BYTES)

    run_scenario(scenario, server)


@pytest.mark.parametrize('pause_seconds', [0, 0.02])
def test_failure_without_end_holds_up_no_safe_call(run_scenario, pause_seconds):
    """A failure that is not forwarded to the caller is not read to its end."""
    server = EndlessServer(FAILURE_CHUNKED, CHUNK, pause_seconds)

    async def scenario(fleet, entry) -> None:
        assert await _statuses(fleet, entry, '/look/a', server) == {200}
        await _check_cut_off(server)

    run_scenario(scenario, server, healthy=True)


@pytest.mark.parametrize('pause_seconds', [0, 0.3])
@pytest.mark.parametrize(
    'repeated',
    [b'a', b'HTTP/1.1 100 Continue\r\n\r\n', b'%b\r\n' % OTHER, b'\r\n'],
)
def test_bytes_after_a_whole_answer_end_its_connection(
    run_scenario, pause_seconds, repeated
):
    """The answer is forwarded; the bytes that follow are not buffered."""
    whole = b'%bContent-Length: 4\r\n\r\nwell' % OWN
    server = EndlessServer(whole, repeated, pause_seconds)

    async def scenario(fleet, entry) -> None:
        answered = await _ask(fleet, entry, '/book/a')
        assert (answered.status, answered.body) == (200, b'well')
        await _check_cut_off(server)
        again = await _ask(fleet, entry, '/book/a')
        assert (again.status, again.body) == (200, b'well')
        await _check_cut_off(server)

    run_scenario(scenario, server)


def test_small_chunks_without_end_are_cut_off_early(run_scenario):
    """Each chunk costs time, however small, so framing has a lower limit."""
    server = EndlessServer(*BODIES['small chunks'])

    async def scenario(fleet, entry) -> None:
        answered = await _ask(fleet, entry, '/book/a')
        assert answered.status == 502
        await _check_cut_off(server, FRAMED_BYTES)

    run_scenario(scenario, server)


def test_whole_answer_in_small_chunks_is_forwarded(run_scenario):
    """An answer of a thousand chunks of one byte is unusual, but valid."""
    chunks = b'1\r\nw\r\n' * 1000
    whole = b'%b%b0\r\n\r\n' % (OWN_CHUNKED, chunks)
    server = EndlessServer(whole, b'a', ANSWER_TIMEOUT_SECONDS)

    async def scenario(fleet, entry) -> None:
        answered = await _ask(fleet, entry, '/book/a')
        assert (answered.status, answered.body) == (200, b'w' * 1000)

    run_scenario(scenario, server)


def test_many_bodies_without_end_share_bounded_memory(run_scenario):
    """Forty endless answers use at most 32 MiB; usual answers still fit."""
    server = EndlessServer(OWN_CHUNKED, CHUNK)

    async def scenario(fleet, entry) -> None:
        statuses = []

        async def ask() -> None:
            answered = await fleet.ask(
                entry, '/book/a', b'x', Deadline_Ms='7000'
            )
            statuses.append(answered.status)

        tracemalloc.start()
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(ask)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert set(statuses) <= {502, 503}
        assert peak < 33554432
        await _check_cut_off(server)

    run_scenario(scenario, server)


def test_each_answer_without_end_is_logged(run_scenario, caplog):
    """One log line names the request, the runner and the exceeded limit."""
    caplog.set_level(logging.INFO)
    server = EndlessServer(*HEADS['interim'])

    async def scenario(fleet, entry) -> None:
        await _ask(fleet, entry, '/book/a')

    run_scenario(scenario, server)
    fields = [
        record.fields
        for record in caplog.records
        if getattr(record, 'event', 0) == events.ANSWER_TOO_LONG.number
    ]
    assert [one['request'] for one in fields] == ['q1']
    assert fields[0]['runner'] == 'desk-endless'


@_each(STORE_CASES)
def test_store_with_an_endless_answer_is_unavailable(start, repeated):
    """A request to the store fails soon, and its connection is closed."""
    server = EndlessServer(start, repeated)

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            store = PlatformStore(await server.serve(nursery))
            await _check_store_unavailable(store)
            await _check_cut_off(server, STORE_REPLY_BYTES)
            nursery.cancel_scope.cancel()

    trio.run(scenario)


async def _check_store_unavailable(store: PlatformStore) -> None:
    with (
        trio.fail_after(ANSWER_TIMEOUT_SECONDS),
        pytest.raises(StoreUnavailableError),
    ):
        await store.snapshot()
    with (
        trio.fail_after(ANSWER_TIMEOUT_SECONDS),
        pytest.raises(StoreUnavailableError),
    ):
        await store.changes(1, 0.1)


@pytest.mark.parametrize(
    'page',
    [
        b'{"items":[],"HasMore":true,"AsOf":1}',
        b'{"items":[{"Key":"a","Value":"","Revision":1}],'
        b'"HasMore":true,"AsOf":1}',
        b'{"items":[]}',
        b'{"items":%b1%b}' % (b'[' * 100000, b']' * 100000),
    ],
    ids=['empty pages', 'the same page', 'no revision', 'nested'],
)
def test_store_whose_pages_do_not_end_is_unavailable(page):
    """Pages that make no progress give no snapshot, and crash no process."""

    async def answer_page(_request, answer) -> None:
        await answer.send_whole(200, [], page)

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            web = WebServer(answer_page, print)
            port = await nursery.start(web.serve, HOST, 0)
            await _check_store_unavailable(PlatformStore(f'{HOST}:{port}'))
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_store_with_endless_new_pages_is_unavailable():
    """The size of a snapshot is limited, even if each page has new keys."""
    sent = []

    async def answer_page(_request, answer) -> None:
        sent.append(1)
        key = str(len(sent)).zfill(9)
        item = {'Key': key, 'Value': VALUE, 'Revision': 1}
        page = {'items': [item], 'HasMore': True, 'AsOf': 1}
        await answer.send_whole(200, [], json.dumps(page).encode())

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            web = WebServer(answer_page, print)
            port = await nursery.start(web.serve, HOST, 0)
            store = PlatformStore(f'{HOST}:{port}')
            with pytest.raises(StoreUnavailableError, match='do not end'):
                await store.snapshot()
            nursery.cancel_scope.cancel()

    trio.run(scenario)
