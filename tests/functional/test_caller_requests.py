"""Check that invalid requests get a clear 4xx and change nothing."""

import httpx
import pytest
from callers import CallerClient, ask, service

CALL = service('lookup')


@pytest.fixture(scope='module')
def client(shared_fleet):
    """Return a client of one entry."""
    return CallerClient(shared_fleet['entry-0'].url)


@pytest.fixture(scope='module')
def program(client):
    """Return a program without calls."""
    return client.open('open-requests')


@pytest.mark.parametrize(
    ('body', 'status', 'part'),
    [
        ({'target': 'nobody'}, 404, 'not declared'),
        ({}, 400, 'target'),
        ({**CALL, 'colour': 'red'}, 400, 'unknown field colour'),
        ({**CALL, 'stream': 'yes'}, 400, 'expected bool'),
        ({**CALL, 'input': []}, 400, 'input'),
        ({**CALL, 'operation': 'dance'}, 404, 'no operation'),
        ({**CALL, 'deadline_seconds': -1}, 400, 'deadline_seconds'),
        ({**ask('x'), 'operation': 'lookup'}, 400, 'no operations'),
        (ask('x', max_tokens=0), 400, 'max_tokens'),
        ({'target': 'helper-models', 'input': {}}, 400, 'messages'),
        (
            {
                'target': 'helper-models',
                'input': {
                    'messages': [{'role': 'king', 'content': ''}],
                    'max_tokens': 5,
                },
            },
            400,
            'role',
        ),
        ([], 400, 'no JSON object'),
    ],
)
def test_wrong_call_is_refused(client, program, body, status, part):
    """The problem names the invalid field, and the request did not run."""
    answer = client.call(program, 'wrong', body)
    assert answer.status_code == status, answer.text
    problem = answer.json()
    assert answer.headers['content-type'] == 'application/problem+json'
    assert part in problem['detail']
    assert problem['verdict'] == 'not-run'
    path = f'/v1/programs/{program}/calls/wrong'
    assert client.request('GET', path).json()['phase'] == 'unknown'


def test_body_that_is_no_json_is_refused(client, program):
    """Invalid JSON is a bad request."""
    answer = httpx.post(
        f'{client.url}/v1/programs/{program}/calls',
        content=b'{"target": ',
        headers={
            'Authorization': 'Bearer cafe-key',
            'Idempotency-Key': 'broken',
        },
    )
    assert answer.status_code == 400
    assert 'no JSON' in answer.json()['detail']


def test_input_over_the_limit_of_the_target_is_refused(client, program):
    """The target's limit, which is below the entry's, is enforced."""
    answer = client.call(
        program, 'large', service('lookup', text='x' * 1_100_000)
    )
    assert answer.status_code == 413
    assert answer.json()['verdict'] == 'not-run'


def test_large_body_is_refused_before_it_is_read(client, program):
    """A body over the entry's limit is refused unread."""
    answer = client.call(
        program, 'huge', service('lookup', text='x' * 9_000_000)
    )
    assert answer.status_code == 413


@pytest.mark.parametrize(
    'sent', ['', 'Bearer', 'Basic cafe-key', 'Bearer wrong', 'cafe-key']
)
def test_key_is_checked(client, sent):
    """A missing or unknown key is refused."""
    answer = client.request(
        'POST', '/v1/programs', 'open', {}, headers={'Authorization': sent}
    )
    assert answer.status_code == 401
    assert answer.headers['www-authenticate'] == 'Bearer'


def test_programs_of_others_are_unknown(client, program):
    """A caller can neither read nor change another caller's program."""
    other = CallerClient(client.url, key='yard-key')
    path = f'/v1/programs/{program}'
    seen = [
        other.request('GET', path),
        other.request('GET', f'{path}/history'),
        other.request('GET', f'{path}/calls/wrong'),
        other.request('DELETE', path),
        other.call(program, 'theirs', CALL),
        other.request('POST', f'{path}/children', 'child', {}),
    ]
    assert {answer.status_code for answer in seen} == {404}
    assert client.request('GET', path).json()['ended'] == ''


def test_unknown_program_is_not_found(client):
    """An unknown or malformed identifier is not found."""
    unknown = '0' * 32
    for program in (unknown, 'x', f'{unknown}.01', '0' * 4000):
        answer = client.call(program, 'one', CALL)
        assert answer.status_code == 404, program
        assert answer.json()['verdict'] == 'not-run'


def test_identifier_is_required_and_bound_to_its_body(client, program):
    """A request without identifier, or with another body, is refused."""
    path = f'/v1/programs/{program}/calls'
    assert client.request('POST', path, '', CALL).status_code == 400
    assert client.request('POST', path, 'a b', CALL).status_code == 400
    assert client.call(program, 'once', CALL).status_code == 200
    other = client.call(program, 'once', service('lookup', other=1))
    assert other.status_code == 409
    assert other.json()['verdict'] == 'not-run'


def test_resume_needs_a_good_offset_and_a_known_request(client, program):
    """An invalid offset is refused; an unknown request is not found."""
    path = f'/v1/programs/{program}/calls'
    bad = client.request('GET', f'{path}/once/stream?offset=abc')
    assert bad.status_code == 400
    unknown = client.request('GET', f'{path}/never/stream')
    assert unknown.status_code == 404


def test_unknown_path_and_method_are_problems(client):
    """Refusals by the HTTP library are problem documents too."""
    for method, path, status in (
        ('GET', '/v1/nothing', 404),
        ('PUT', '/v1/programs', 405),
    ):
        answer = client.request(method, path)
        assert answer.status_code == status
        assert answer.json()['verdict'] == 'not-run'
