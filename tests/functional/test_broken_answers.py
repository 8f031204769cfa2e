"""Check what callers get when runners break off or repeat their answers."""

import logging
from functools import partial
from itertools import chain, repeat
from types import MappingProxyType

import pytest
import trio

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.web.headers import field_text
from jasminewheel._internal.web.request_parser import HttpRequest
from tests.platform_fleet import platform_fleet
from tests.scripted_server import Script, ScriptedServer

OK = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'id: 0\ndata: w0\n\n'
TWO_EVENTS = EVENT * 2
HALF_EVENT = b'id: 1\ndata: w'
LAST_CHUNK = b'0\r\n\r\n'
UNTIL_CLOSE = b'%b\r\n' % OK
OWN_CHUNKED = b'%b%b' % (OK, CHUNKED)
REFUSAL = b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n'
UNNAMED_REFUSAL = b'%b\r\n' % REFUSAL
OWN_REFUSAL = b'%bRequest-Id: {id}\r\n\r\n' % REFUSAL
OLD_REFUSAL = b'%bRequest-Id: {old}\r\n\r\n' % REFUSAL
WRONG_RUNNER = b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n'
PLAIN = b'%bContent-Length: 4\r\n\r\ndone' % OK
# Statuses that promise that the request has not run.
NOT_RUN = frozenset((408, 421, 429, 503))
TURN = MappingProxyType(
    {'Program_Id': 'p1', 'Session_Id': 's', 'Token_Usage': '10,8'}
)
DEADLINE_MILLISECONDS = '2500'


def _chunk(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)


BROKEN_STREAMS = MappingProxyType(
    {
        'inside an event, no length': Script(
            b'%b%b%b' % (UNTIL_CLOSE, EVENT, HALF_EVENT), end='close'
        ),
        'inside the first event, no length': Script(
            UNTIL_CLOSE + HALF_EVENT, end='close'
        ),
        'inside a separator, no length': Script(
            UNTIL_CLOSE + EVENT[:-1], end='close'
        ),
        'before any event, no length': Script(UNTIL_CLOSE, end='close'),
        'reset between events, no length': Script(
            UNTIL_CLOSE + EVENT, end='reset'
        ),
        'inside an event, chunked': Script(
            OWN_CHUNKED + _chunk(EVENT + HALF_EVENT) + LAST_CHUNK
        ),
        'inside an event, length': Script(
            b'%bContent-Length: %d\r\n\r\n%b%b'
            % (OK, len(EVENT) + len(HALF_EVENT), EVENT, HALF_EVENT)
        ),
        'between chunks': Script(OWN_CHUNKED + _chunk(EVENT), end='close'),
    }
)
BROKEN_HEADS = MappingProxyType(
    {
        'nothing': b'',
        'inside the version': b'HTTP/1',
        'inside the status': b'HTTP/1.1 20',
        'after the status': b'HTTP/1.1 200',
        'after the status line': b'HTTP/1.1 200 OK\r\n',
        'inside a field name': b'HTTP/1.1 200 OK\r\nResponse-Sig',
        'inside a field value': b'HTTP/1.1 200 OK\r\nResponse-Signature: s',
        'before a length': OK,
        'inside a length': b'%bContent-Length: ' % OK,
        'inside the digits of a length': b'%bContent-Length: 4' % OK,
        'after a length': b'%bContent-Length: 4\r\n' % OK,
        'after the coding': b'%bTransfer-Encoding: chunked\r\n' % OK,
        'inside the blank line': b'%bContent-Length: 0\r\n\r' % OK,
        'inside the blank line, no length': b'%b\r' % OK,
        'interim only': b'HTTP/1.1 100 Continue\r\n\r\n',
        'interim and a part': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200',
        'body cut': b'%bContent-Length: 9\r\n\r\ndone' % OK,
    }
)
REPEATED_REFUSALS = MappingProxyType(
    {
        'after the request, unnamed': Script(UNNAMED_REFUSAL + PLAIN),
        'after the request, named': Script(OLD_REFUSAL + PLAIN),
        'inside the request, unnamed': Script(PLAIN, early=UNNAMED_REFUSAL),
        'inside the request, named': Script(PLAIN, early=OLD_REFUSAL),
        'alone, unnamed': Script(UNNAMED_REFUSAL),
        'alone, named': Script(OLD_REFUSAL, end='close'),
        'of another status': Script(WRONG_RUNNER + PLAIN),
        'late': Script(b'', pause_seconds=0.2, late=UNNAMED_REFUSAL),
    }
)


@pytest.fixture
def run_scenario(tmp_path):
    """Run a scenario with an entry and one scripted runner a target."""

    async def run(scenario, servers) -> None:
        async with platform_fleet(tmp_path) as fleet:
            fleet.configure()
            await _list(fleet, 'desk', servers.get('desk'))
            await _list(fleet, 'model', servers.get('model'))
            await fleet.start_histories()
            entry = await fleet.start_entry()
            await scenario(fleet, entry)

    def start(scenario, **servers: ScriptedServer) -> None:
        trio.run(partial(run, scenario, servers))

    return start


async def _list(fleet, target: str, server: ScriptedServer | None) -> None:
    if server:
        address = await server.serve(fleet.nursery)
        fleet.list_runner(f'{target}-scripted', target, address)


def _ask(fleet, entry, path: str, body: bytes = b'x', **headers):
    waits = {'Deadline_Ms': DEADLINE_MILLISECONDS, **headers}
    return fleet.ask(entry, path, body, **waits)


def _cases(cases):
    return pytest.mark.parametrize('case', cases.values(), ids=cases.keys())


@_cases(BROKEN_STREAMS)
def test_broken_stream_is_not_ended_as_complete(run_scenario, caplog, case):
    """The caller sees that the stream broke off, and its turn is not kept."""
    caplog.set_level(logging.INFO)
    server = ScriptedServer([case])

    async def scenario(fleet, entry) -> None:
        broken = await _ask(fleet, entry, '/turns/a', **TURN)
        assert broken.status != 200 or not broken.whole
        assert broken.status not in NOT_RUN
        assert HALF_EVENT not in broken.body
        assert len(server.ran) == 1
        following = await _ask(
            fleet, entry, '/turns/a', Previous_Turn='q1', **TURN
        )
        assert following.status == 404
        failed = [one for one in caplog.records if _is_failed_attempt(one)]
        assert len(failed) == 1

    run_scenario(scenario, model=server)


def _is_failed_attempt(record: logging.LogRecord) -> bool:
    return getattr(record, 'event', 0) == events.ATTEMPT_FAILED.number


@pytest.mark.parametrize(
    'script',
    [
        Script(b'%b%b' % (UNTIL_CLOSE, TWO_EVENTS), end='close'),
        Script(b'%b%b%b' % (OWN_CHUNKED, _chunk(TWO_EVENTS), LAST_CHUNK)),
    ],
    ids=['no length', 'chunked'],
)
def test_stream_that_ends_after_an_event_is_whole(run_scenario, script):
    """A clean end after an event is the end, and the turn is kept."""
    server = ScriptedServer([script])

    async def scenario(fleet, entry) -> None:
        first = await _ask(fleet, entry, '/turns/a', **TURN)
        assert (first.status, first.whole) == (200, True)
        assert first.body == TWO_EVENTS
        following = await _ask(
            fleet, entry, '/turns/a', Previous_Turn='q1', **TURN
        )
        assert (following.status, following.whole) == (200, True)

    run_scenario(scenario, model=server)


@pytest.mark.parametrize(('end', 'status'), [('close', 200), ('reset', 502)])
def test_plain_answer_that_ends_with_its_connection(run_scenario, end, status):
    """Only a clean end of the connection makes such an answer whole."""
    server = ScriptedServer([Script(b'%bdone' % UNTIL_CLOSE, end=end)])

    async def scenario(fleet, entry) -> None:
        booked = await _ask(fleet, entry, '/book/a')
        assert booked.status == status
        assert status != 200 or booked.body == b'done'
        assert len(server.ran) == 1

    run_scenario(scenario, desk=server)


@_cases(BROKEN_HEADS)
def test_head_that_breaks_off_gives_no_success(run_scenario, case):
    """Neither a call nor a turn is answered from a part of a head."""
    desk = ScriptedServer([Script(case, end='close')])
    model = ScriptedServer([Script(case, end='close')])

    async def scenario(fleet, entry) -> None:
        booked = await _ask(fleet, entry, '/book/a')
        assert booked.status == 502
        looked = await _ask(fleet, entry, '/look/a', b'')
        assert looked.status == 502
        turned = await _ask(fleet, entry, '/turns/a', **TURN)
        assert turned.status == 502 or not turned.whole
        assert len(model.ran) == 1

    run_scenario(scenario, desk=desk, model=model)


@_cases(REPEATED_REFUSALS)
def test_repeated_refusal_promises_nothing(run_scenario, case):
    """A refusal that comes again is not taken for one of the next call."""
    refusal = Script(OWN_REFUSAL, runs=False)
    server = ScriptedServer([refusal, case])

    async def scenario(fleet, entry) -> None:
        refused = await _ask(fleet, entry, '/book/a')
        assert refused.status == 503
        booked = await _ask(fleet, entry, '/book/b')
        assert booked.status in {200, 502, 504}
        assert booked.status != 200 or booked.body == b'done'
        assert server.ran == ['q2']
        # The two calls share a connection.
        assert max(server.received) == 2 or server.received[0] == 1

    run_scenario(scenario, desk=server)


def test_repeated_refusal_brings_no_second_runner(run_scenario):
    """A call that may not be repeated runs once beside a free runner."""
    refusal = Script(OWN_REFUSAL, runs=False)
    repeated = Script(UNNAMED_REFUSAL + PLAIN)
    server = ScriptedServer(chain(*repeat((refusal, repeated), 20)))

    async def scenario(fleet, entry) -> None:
        free = await fleet.add_runner('desk-free', 'desk')
        refused: set[str] = set()
        while len(server.ran) < 3:
            booked = await _ask(fleet, entry, '/book/a')
            if booked.status in NOT_RUN:
                refused.add(f'q{fleet.sent}')
        free_ran = [_call_id(request) for request in free.ran]
        ran = [*server.ran, *free_ran]
        assert len(ran) == len(set(ran))
        assert not refused.intersection(ran)

    run_scenario(scenario, desk=server)


def _call_id(request: HttpRequest) -> str:
    return field_text(request.headers, b'request-id')


@pytest.mark.parametrize('named', [b'', b'Request-Id: {id}\r\n'])
def test_refusal_on_a_new_connection_is_true(run_scenario, named):
    """The first answer of a connection repeats none, so it may be unnamed."""
    refusal = b'%b%b\r\n' % (REFUSAL, named)
    server = ScriptedServer([Script(refusal, runs=False)])

    async def scenario(fleet, entry) -> None:
        assert (await _ask(fleet, entry, '/book/a')).status == 503

    run_scenario(scenario, desk=server)


def test_part_of_an_unasked_answer_ends_its_connection(run_scenario):
    """A connection that carries the start of an unasked answer is closed."""
    server = ScriptedServer([Script(PLAIN + UNNAMED_REFUSAL[:20])])

    async def scenario(fleet, entry) -> None:
        assert (await _ask(fleet, entry, '/book/a')).status == 200
        assert (await _ask(fleet, entry, '/book/b')).status == 200
        assert server.received == [1, 1]

    run_scenario(scenario, desk=server)
