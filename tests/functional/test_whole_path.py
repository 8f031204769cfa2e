"""Check programs end to end through separate processes."""

import json
from concurrent.futures import ThreadPoolExecutor

from callers import CallerClient, Stream, ask, service
from server_group import poll

from jasminewheel._internal.fakes.answers import make_answer


def expected_text(*contents):
    """Return the stand-in's answer to a conversation of user messages."""
    messages = []
    text = ''
    for content in contents:
        messages.append({'role': 'user', 'content': content})
        text = make_answer('guide', messages, 200).text
        messages.append({'role': 'assistant', 'content': text})
    return text


def test_program_runs_end_to_end(shared_fleet):
    """A program opens, runs its calls in order and ends."""
    fleet = shared_fleet
    first = CallerClient(fleet['entry-0'].url)
    other = CallerClient(fleet['entry-1'].url)
    program = first.open('open-whole')
    assert other.open('open-whole') == program

    streamed = first.streamed(program, 'turn-1', ask('the kettle hums'))
    assert streamed.end == 'done'
    assert streamed.text == expected_text('the kettle hums')
    assert streamed.fields['text'] == streamed.text

    sent = other.call(program, 'text-1', service('text', to='owner'))
    assert sent.status_code == 200, sent.text
    again = first.call(program, 'text-1', service('text', to='owner'))
    assert again.json() == sent.json()
    assert fleet.tool_runs()[f'{program}:text-1'] == 1

    second = other.call(program, 'turn-2', ask('and now it leaks'))
    assert second.json()['text'] == expected_text(
        'the kettle hums', 'and now it leaks'
    )
    ended = first.request('DELETE', f'/v1/programs/{program}')
    assert ended.json()['ended']
    late = other.call(program, 'turn-3', ask('hello?'))
    assert late.status_code == 409
    assert late.json()['verdict'] == 'not-run'


def test_answer_is_resumed_from_an_offset(shared_fleet):
    """A disconnected caller reads the rest through another entry."""
    first = CallerClient(shared_fleet['entry-0'].url)
    other = CallerClient(shared_fleet['entry-1'].url)
    program = first.open('open-resume')
    body = ask('the lamp flickers')
    with first.stream(program, 'turn-1', body) as lines:
        received = Stream().read(lines, until=10)
    other.resumed(program, 'turn-1', received)
    assert received.end == 'done'
    assert received.restarts == 0
    assert received.text == expected_text('the lamp flickers')


def test_children_run_side_by_side(shared_fleet):
    """Calls of two child programs run concurrently."""
    client = CallerClient(shared_fleet['entry-0'].url)
    program = client.open('open-parent')
    path = f'/v1/programs/{program}/children'
    opened = [
        client.request('POST', path, request_id, {}).json()['program']
        for request_id in ('child-1', 'child-2', 'child-1')
    ]
    assert opened == [f'{program}.1', f'{program}.2', f'{program}.1']
    with ThreadPoolExecutor() as pool:
        answers = list(
            pool.map(
                lambda child: client.call(child, 'one', service('lookup')),
                opened[:2],
            )
        )
    assert [answer.status_code for answer in answers] == [200, 200]
    view = client.request('GET', f'/v1/programs/{program}').json()
    assert view['children'] == [f'{program}.1', f'{program}.2']


def test_plain_call_is_answered_once(shared_fleet):
    """A plain call retried through another entry runs once."""
    first = CallerClient(shared_fleet['entry-0'].url)
    other = CallerClient(shared_fleet['entry-1'].url)
    body = service('text', to='owner')
    sent = first.request('POST', '/v1/calls', 'plain-1', body)
    again = other.request('POST', '/v1/calls', 'plain-1', body)
    assert sent.status_code == 200, sent.text
    assert again.json() == sent.json()
    assert sent.json()['output']['run'] == 1


def test_a_hop_has_a_span_under_the_trace_of_the_caller(shared_fleet):
    """Spans of all processes carry the trace id of the caller."""
    trace_id = 'abcdef0123456789abcdef0123456789'
    header = {'traceparent': f'00-{trace_id}-0123456789abcdef-01'}
    client = CallerClient(shared_fleet['entry-0'].url)
    program = client.open('open-trace')
    path = f'/v1/programs/{program}/calls'
    client.request('POST', path, 'one', service('lookup'), headers=header)

    def names():
        return {
            json.loads(line)['name']
            for path in shared_fleet.folder.glob('*.spans')
            for line in path.read_text().splitlines()
            if trace_id in line
        }

    poll(lambda: {'operation', 'call', 'dispatch'} <= names())
