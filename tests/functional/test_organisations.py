"""Check keys, their withdrawal and rates of organisations over processes."""

from contextlib import closing
from types import MappingProxyType

import pytest
import trio

from tests.entry_process import running_entry
from tests.platform_fleet import (
    CALLS_HOST,
    PlatformFleet,
    ask_once,
    platform_fleet,
    stored_json,
)
from jasminewheel._internal.web.client import OutgoingRequest, open_connection
from jasminewheel.platform.configuration import CONFIGURATION_KEY

REVOCATION_SECONDS = 2.0
STRICT = f'RevokeStrict = true\nRevokeMs = {int(REVOCATION_SECONDS * 1000)}'
CAFE = MappingProxyType(
    {'Name': 'cafe', 'ApiKeys': ['key-1', 'key-2'], 'Priority': 2}
)
YARD = MappingProxyType({'Name': 'yard', 'ApiKeys': ['key-3']})


def declare(fleet: PlatformFleet, *rows: dict, version: int = 8) -> None:
    """Write a configuration with organisations and a public route."""
    fields = stored_json(fleet, CONFIGURATION_KEY)
    public = {**fields['Routes'][0], 'Name': 'open', 'Prefix': '/open/'}
    public['Public'] = True
    fields['Routes'] = [*fields['Routes'][:3], public]
    fields['Version'] = version
    fields['Tenants'] = [dict(row) for row in rows]
    fleet.store.write_json(CONFIGURATION_KEY, fields)


def run_scenario(folder, scenario, *rows: dict) -> None:
    """Run a scenario with an entry, three histories and two runners."""

    async def run() -> None:
        async with platform_fleet(folder) as fleet:
            fleet.configure()
            declare(fleet, *rows)
            await fleet.add_runner('desk-1', 'desk')
            await fleet.add_runner('model-1', 'model')
            await fleet.start_histories()
            entry = await fleet.start_entry()
            await scenario(fleet, entry)

    trio.run(run)


def sent_headers(fleet: PlatformFleet, runner: str) -> dict[str, str]:
    """Return the header fields of the latest call at a runner."""
    call = fleet.runners[runner].ran[-1]
    headers = call.headers
    return {name.decode().lower(): text.decode() for name, text in headers}


def test_runner_gets_the_organisation_and_not_its_key(tmp_path):
    """The key stays at the entry, and no caller names its organisation."""

    async def scenario(fleet, entry) -> None:
        answered = await fleet.ask(
            entry, '/look/a', Credential='key-2', Tenant='yard'
        )
        assert answered.status == 200
        headers = sent_headers(fleet, 'desk-1')
        assert headers['tenant'] == 'cafe'
        assert headers['request-priority'] == '2'
        assert 'credential' not in headers

    run_scenario(tmp_path, scenario, CAFE, YARD)


def test_unknown_key_is_refused_except_on_public_routes(tmp_path):
    """A route that is public asks for no key and names no organisation."""

    async def scenario(fleet, entry) -> None:
        assert (await fleet.ask(entry, '/look/a')).status == 401
        unknown = await fleet.ask(entry, '/look/a', Credential='key-9')
        assert unknown.status == 401
        public = await fleet.ask(
            entry, '/open/a', Tenant='cafe', Credential='key-9'
        )
        assert public.status == 200
        headers = sent_headers(fleet, 'desk-1')
        assert not headers.keys() & {'tenant', 'credential'}

    run_scenario(tmp_path, scenario, CAFE)


def test_organisations_without_keys_admit_nobody(tmp_path):
    """Once the last key is withdrawn no call needs none."""

    async def scenario(fleet, entry) -> None:
        answered = await fleet.ask(entry, '/look/a', Credential='key-1')
        assert answered.status == 401
        assert (await fleet.ask(entry, '/look/a')).status == 401

    run_scenario(tmp_path, scenario, {**CAFE, 'ApiKeys': []})


@pytest.mark.parametrize('odd', ['9' * 5000, 'x', '-'])
def test_odd_numbers_are_refused_or_ignored(tmp_path, odd):
    """A number without end closes no connection."""

    async def scenario(fleet, entry) -> None:
        answered = await fleet.ask(
            entry,
            '/turns/a',
            b'x',
            Program_Deadline_Ms=odd,
            Prompt_Prefix=f'a:{odd}',
            Token_Usage=f'{odd},8',
        )
        assert answered.status == 200
        refused = await fleet.ask(entry, '/look/a', Deadline_Ms=odd)
        assert refused.status == 400

    run_scenario(tmp_path, scenario)


def test_fields_pass_unchanged_without_organisations(tmp_path):
    """Without organisations the same fields are a caller's own."""

    async def scenario(fleet, entry) -> None:
        await fleet.ask(entry, '/look/a', Tenant='cafe', Credential='x')
        headers = sent_headers(fleet, 'desk-1')
        assert (headers['tenant'], headers['credential']) == ('cafe', 'x')

    run_scenario(tmp_path, scenario)


def test_turn_belongs_to_its_organisation(tmp_path):
    """Another organisation cannot go on from a turn; any key of its own can."""

    async def scenario(fleet, entry) -> None:
        first = await fleet.ask(
            entry, '/turns/a', b'one', Credential='key-1', Token_Usage='9,8'
        )
        assert first.status == 200
        turn = first.headers['request-id']
        other = await fleet.ask(
            entry, '/turns/a', b'x', Credential='key-3', Previous_Turn=turn
        )
        assert other.status == 404
        again = await fleet.ask(
            entry, '/turns/a', b'x', Credential='key-2', Previous_Turn=turn
        )
        assert again.status == 200

    run_scenario(tmp_path, scenario, CAFE, YARD)


def test_withdrawn_key_is_refused(tmp_path):
    """A key that a new configuration lacks stops working soon."""

    async def scenario(fleet, entry) -> None:
        assert (
            await fleet.ask(entry, '/look/a', Credential='key-1')
        ).status == 200
        declare(fleet, {**CAFE, 'ApiKeys': ['key-2']}, version=9)
        status = 200
        with trio.fail_after(5):
            while status == 200:
                await trio.sleep(0.1)
                status = (
                    await fleet.ask(entry, '/look/a', Credential='key-1')
                ).status
        assert status == 401

    run_scenario(tmp_path, scenario, CAFE)


def make_call(number: int) -> OutgoingRequest:
    """Return a call with a key."""
    fields = [
        (b'Host', CALLS_HOST.encode()),
        (b'Request-Id', b'k%d' % number),
        (b'Deadline-Ms', b'3000'),
        (b'Credential', b'key-1'),
    ]
    return OutgoingRequest(b'GET', b'/look/a', fields)


def test_suspended_entry_accepts_no_withdrawn_key(tmp_path):
    """An entry that was stopped does not act on what it knew before.

    The call waits in its socket, so it is read before any news of the store.
    """

    async def scenario(fleet, process) -> None:
        address = process.node.call_address
        assert (await ask_once(address, make_call(1))).status == 200
        process.pause()
        declare(fleet, YARD, version=9)
        await trio.sleep(REVOCATION_SECONDS + 0.5)
        ran = len(fleet.runners['desk-1'].ran)
        connection = await open_connection(address, 1)
        with closing(connection):
            await connection.send(make_call(2))
            process.resume()
            assert (await connection.response(bool)).status in {401, 503}
        assert len(fleet.runners['desk-1'].ran) == ran

    run_with_process(tmp_path, scenario)


def test_entry_without_news_serves_public_routes_only(tmp_path):
    """An entry that nobody tells of the store refuses keys as not run."""

    async def scenario(fleet, process) -> None:
        address = process.node.call_address
        for vm in ('store-1', 'store-2', 'store-3'):
            fleet.scopes[vm].cancel()
        fleet.store.refuse_with = 503
        status = 200
        with trio.fail_after(REVOCATION_SECONDS + 5):
            while status == 200:
                await trio.sleep(0.1)
                answered = await ask_once(address, make_call(1))
                status = answered.status
        assert status == 503
        assert float(answered.headers['retry-after']) > 0
        public = OutgoingRequest(b'GET', b'/open/a', make_call(2).headers[:3])
        assert (await ask_once(address, public)).status == 200

    run_with_process(tmp_path, scenario)


def run_with_process(folder, scenario) -> None:
    """Run a scenario with an entry that is a process of its own."""

    async def run() -> None:
        async with platform_fleet(folder) as fleet:
            fleet.configure()
            declare(fleet, CAFE)
            await fleet.add_runner('desk-1', 'desk')
            await fleet.start_histories()
            async with running_entry(fleet, bounds=STRICT) as process:
                await scenario(fleet, process)

    trio.run(run)


def test_calls_over_the_rate_are_refused_with_a_time(tmp_path):
    """Beyond its rate an organisation is told when to come back."""
    limited = {**CAFE, 'RatePerS': 2, 'Burst': 2}

    async def scenario(fleet, entry) -> None:
        answers = []
        while len(answers) < 60:
            await trio.sleep(0.05)
            answers.append(
                await fleet.ask(entry, '/look/a', Credential='key-1')
            )
        refused = [one for one in answers if one.status == 429]
        assert {one.status for one in answers} == {200, 429}
        assert all(float(one.headers['retry-after']) > 0 for one in refused)
        other = await fleet.ask(entry, '/look/a', Credential='key-3')
        assert other.status == 200

    run_scenario(tmp_path, scenario, limited, YARD)


def test_calls_that_run_nowhere_take_nothing_of_the_rate(tmp_path):
    """Turns that are refused for another reason do not count."""
    limited = {**CAFE, 'RatePerS': 2, 'Burst': 2}

    async def scenario(fleet, entry) -> None:
        # The limiters begin with nothing saved up.
        await trio.sleep(2)
        turns = 0
        while turns < 80:
            turns += 1
            unknown = await fleet.ask(
                entry, '/turns/a', b'x', Credential='key-1', Previous_Turn='no'
            )
            assert unknown.status == 404
        answered = await fleet.ask(entry, '/look/a', Credential='key-1')
        assert answered.status == 200

    run_scenario(tmp_path, scenario, limited)
