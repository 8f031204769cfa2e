"""Run a program end to end through separate processes."""

import pytest
from callers import CallerClient, ask, service
from process_fleet import running_fleet

from jasminewheel._internal.fakes.answers import make_answer


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Run one fleet for the tests of this module."""
    with running_fleet(tmp_path_factory.mktemp('fleet')) as running:
        yield running


def expected_text(*contents):
    """Return what the stand-in answers to a conversation."""
    messages = []
    text = ''
    for content in contents:
        messages.append({'role': 'user', 'content': content})
        text = make_answer('guide', messages, 200).text
        messages.append({'role': 'assistant', 'content': text})
    return text


def test_program_runs_end_to_end(fleet):
    """A program is opened, runs its calls in order, and ends."""
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
    assert fleet.tool_runs() == {f'{program}:text-1': 1}

    second = other.call(program, 'turn-2', ask('and now it leaks'))
    assert second.json()['text'] == expected_text(
        'the kettle hums', 'and now it leaks'
    )
    ended = first.request('DELETE', f'/v1/programs/{program}')
    assert ended.json()['ended']
    late = other.call(program, 'turn-3', ask('hello?'))
    assert late.status_code == 409
    assert late.json()['verdict'] == 'not-run'
