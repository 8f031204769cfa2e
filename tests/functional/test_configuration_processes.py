"""Check configurations in real processes under faults."""

import threading
from hashlib import sha256

import httpx
import pytest
from attrs import define
from process_fleet import running_fleet
from server_group import poll

from jasminewheel._internal.configuration.root import ROOT_KEY
from jasminewheel.commands.ctl.client import OperatorClient
from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode

KEY = 'asha-key'
OPERATOR_KEYS = (
    {'operator': 'asha', 'sha256': sha256(KEY.encode()).hexdigest()},
)
IN_FORCE_SECONDS = 12


@define
class Operator:
    """Send requests to a fleet's entries as jasminewheelctl does."""

    fleet: object

    def client(self, entry):
        """Return a client of an entry."""
        return OperatorClient(self.fleet[entry].url, KEY)

    def apply(self, entry, name, tokens, version=None):
        """Apply one caller at an entry; return the exit code."""
        spec = {
            'key_hashes': [],
            'budget': {'tokens': tokens},
            'targets': [],
        }
        document = {'kind': 'caller', 'name': name, 'spec': spec}
        if version is not None:
            document['version'] = version
        with self.client(entry) as client:
            try:
                client.post('apply', {'resources': [document]})
            except CommandError as error:
                return error.exit_code
        return ExitCode.done

    def tokens(self, entry, name):
        """Return a caller's budget in tokens at one entry, or None."""
        with self.client(entry) as client:
            try:
                found = client.get(f'callers/{name}')
            except CommandError:
                return None
        return found['spec']['budget']['tokens']

    def versions(self, entry):
        """Return the versions in force by member, as one entry reports."""
        with self.client(entry) as client:
            members = client.get('status')['members']
        return {one['member']: one['configuration_version'] for one in members}

    def one_version(self, entry):
        """Return the version of all members, or 0 if they differ."""
        found = set(self.versions(entry).values())
        return found.pop() if len(found) == 1 else 0

    def settled_version(self):
        """Wait until all members have the same version and return it."""
        return poll(lambda: self.one_version('entry-0'), IN_FORCE_SECONDS)


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Run a fleet with two entries that accept an operator's key."""
    with running_fleet(
        tmp_path_factory.mktemp('configuration'),
        entry_fields={'operator_keys': OPERATOR_KEYS},
        engines=1,
        tools=1,
    ) as running:
        yield running


@pytest.fixture
def operator(fleet):
    """Return an operator of the fleet, with the store's faults cleared."""
    fleet['store'].set_fault(mode='ok')
    operator = Operator(fleet)
    poll(lambda: {'entry-0', 'entry-1'} <= operator.versions('entry-0').keys())
    return operator


def test_two_operators_race(operator):
    """Of two changes that expect one version one commits; the rest all do."""
    assert operator.apply('entry-0', 'shared', 1) == 0
    version = operator.settled_version()
    outcomes = {}

    def race(entry, tokens):
        outcomes[tokens] = [
            operator.apply(entry, 'shared', tokens, version),
            *(
                operator.apply(entry, f'{entry}-{number}', tokens)
                for number in range(3)
            ),
        ]

    racers = [
        threading.Thread(target=race, args=('entry-0', 10)),
        threading.Thread(target=race, args=('entry-1', 20)),
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    shared = {tokens: codes[0] for tokens, codes in outcomes.items()}
    assert sorted(shared.values()) == [0, 4]
    assert all(codes[1:] == [0, 0, 0] for codes in outcomes.values())
    winner = min(shared, key=shared.get)
    operator.settled_version()
    for entry in ('entry-0', 'entry-1'):
        assert operator.tokens(entry, 'shared') == winner
        assert operator.tokens(entry, 'entry-0-2') == 10
        assert operator.tokens(entry, 'entry-1-2') == 20


def test_restart_while_the_store_is_down(operator):
    """A restarted entry gets its peers' version; commits need the store."""
    assert operator.apply('entry-0', 'kept', 5) == 0
    version = operator.settled_version()
    fleet = operator.fleet
    fleet['store'].set_fault(mode='down')
    fleet['entry-1'].kill()
    fleet.start_entry(1)
    poll(fleet['entry-1'].is_ready)
    assert operator.tokens('entry-1', 'kept') == 5
    assert operator.apply('entry-1', 'kept', 6) in {1, 7}
    fleet['store'].set_fault(mode='ok')
    assert operator.apply('entry-1', 'kept', 7) == 0
    poll(lambda: operator.one_version('entry-0') > version, IN_FORCE_SECONDS)
    assert operator.tokens('entry-0', 'kept') == 7


def test_lost_answers_of_the_store(operator):
    """A change whose replies are lost commits once and is confirmed."""
    before = operator.settled_version()
    operator.fleet['store'].set_fault(
        mode='lose_answers', path_part=ROOT_KEY, probability=0.5
    )
    codes = []
    while 0 not in codes:
        assert len(codes) < 20
        codes.append(operator.apply('entry-0', 'lost', 9))
        assert codes[-1] in {0, 1, 7}
    operator.fleet['store'].set_fault(mode='ok')
    poll(lambda: operator.one_version('entry-1'), IN_FORCE_SECONDS)
    assert operator.versions('entry-0')['entry-0'] == before + 1
    assert operator.tokens('entry-1', 'lost') == 9


def test_slow_store(operator):
    """A change through a slow store is in force within IN_FORCE_SECONDS."""
    operator.fleet['store'].set_fault(mode='slow', delay_seconds=0.5)
    assert operator.apply('entry-0', 'slow', 3) == 0
    poll(lambda: operator.tokens('entry-1', 'slow') == 3, IN_FORCE_SECONDS)


def test_change_while_a_member_is_frozen(operator):
    """A frozen entry applies a change after the thaw and never reverts it."""
    fleet = operator.fleet
    assert operator.apply('entry-0', 'thawed', 1) == 0
    poll(lambda: operator.tokens('entry-1', 'thawed') == 1, IN_FORCE_SECONDS)
    fleet['entry-1'].freeze()
    assert operator.apply('entry-0', 'thawed', 2) == 0
    fleet['store'].set_fault(mode='down')
    poll(lambda: 'entry-1' not in operator.versions('entry-0'))
    fleet['entry-1'].thaw()
    poll(lambda: operator.tokens('entry-1', 'thawed') == 2, IN_FORCE_SECONDS)
    fleet['store'].set_fault(mode='ok')
    poll(lambda: operator.one_version('entry-1'), 30)
    assert operator.tokens('entry-1', 'thawed') == 2


def test_a_request_is_explained(operator):
    """Events of a request are found through any entry."""
    call = {
        'target': 'helper-models',
        'input': {
            'messages': [{'role': 'user', 'content': 'The lamp flickers.'}],
            'max_tokens': 8,
        },
    }
    for entry in ('entry-0', 'entry-1'):
        url = operator.fleet[entry].url
        answer = httpx.post(
            f'{url}/v1/calls',
            json=call,
            headers={
                'Authorization': 'Bearer cafe-key',
                'Idempotency-Key': f'explained-{entry}',
            },
            timeout=30,
        )
        assert answer.status_code == 200, answer.text
    for request_id in ('explained-entry-0', 'explained-entry-1'):
        with operator.client('entry-1') as client:
            found = client.get('events', subject=request_id)['events']
        decided = [one for one in found if 'decision' in one['fields']]
        assert decided[0]['fields']['request'] == request_id
        assert 'slot' in ' '.join(found[0]['fields'])


def test_status_shows_what_entries_hold(operator):
    """Each entry's status shows slots, queues, runners and members."""
    with operator.client('entry-0') as client:
        members = client.get('status')['members']
    sections = {
        one['member']: one['sections']
        for one in members
        if one['roles'] == ['entry']
    }
    for shown in sections.values():
        assert set(shown) >= {'slots', 'queues', 'runners', 'budgets'}
        assert shown['members']['states']['history-0'] == 'alive'


def test_drain_by_command(operator):
    """A drained entry exits and is removed from the membership."""
    drained = operator.fleet['entry-1'].popen
    with operator.client('entry-0') as client:
        assert client.post('members/entry-1/drain', {})['member'] == 'entry-1'
    assert drained.wait(30) == 0
    poll(lambda: 'entry-1' not in operator.versions('entry-0'), 2)
    operator.fleet.start_entry(1)
    poll(operator.fleet['entry-1'].is_ready)
