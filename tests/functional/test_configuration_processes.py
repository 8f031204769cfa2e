"""Check configurations on real processes under faults."""

import json
import subprocess
import sys
import threading
from hashlib import sha256

import pytest
from attrs import define
from process_fleet import poll, running_fleet

from jasminewheel._internal.configuration.root import ROOT_KEY

KEY = 'asha-key'
OPERATOR_KEYS = (
    {'operator': 'asha', 'sha256': sha256(KEY.encode()).hexdigest()},
)
IN_FORCE_SECONDS = 12


@define
class Operator:
    """Run jasminewheelctl against the entries of a fleet."""

    fleet: object

    def run(self, entry, *arguments):
        """Run a command at an entry; return its exit code and output."""
        key_file = self.fleet.folder / 'operator.key'
        key_file.write_text(KEY)
        code = 'from jasminewheel.cli.ctl import main; main()'
        command = [sys.executable, '-c', code, *arguments]
        connection = [
            '--server',
            self.fleet[entry].url,
            '--key-file',
            str(key_file),
        ]
        done = subprocess.run(
            [*command, *connection],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return done.returncode, done.stdout or done.stderr

    def apply(self, entry, name, tokens, version=None):
        """Apply one caller at an entry; return exit code and output."""
        document = {
            'kind': 'caller',
            'name': name,
            'spec': {
                'key_hashes': [],
                'budget': {'tokens': tokens},
                'targets': [],
            },
        }
        if version is not None:
            document['version'] = version
        path = self.fleet.folder / f'{name}-{tokens}-{entry}.json'
        path.write_text(json.dumps(document))
        return self.run(entry, 'apply', '-f', str(path))

    def tokens(self, entry, name):
        """Return a caller's budget as one entry has it, or None."""
        code, output = self.run(entry, 'get', 'caller', name, '--output=json')
        if code:
            return None
        return json.loads(output)['spec']['budget']['tokens']

    def versions(self, entry):
        """Return the versions in force by member, as one entry gathers."""
        _, output = self.run(entry, 'status', '--output=json')
        return {
            one['member']: one['configuration_version']
            for one in json.loads(output)['members']
        }

    def one_version(self, entry):
        """Return the version that all members have, or 0."""
        found = set(self.versions(entry).values())
        return found.pop() if len(found) == 1 else 0


@pytest.fixture
def operator(tmp_path):
    """Run a fleet with two entries and an operator."""
    with running_fleet(
        tmp_path,
        entry_fields={'operator_keys': OPERATOR_KEYS},
        engines=1,
        tools=1,
    ) as fleet:
        yield Operator(fleet)


def test_two_operators_race(operator):
    """Of two changes to one version one is made; others are all made."""
    assert operator.apply('entry-0', 'shared', 1)[0] == 0
    version = operator.one_version('entry-0') or poll(
        lambda: operator.one_version('entry-0')
    )
    outcomes = {}

    def race(entry, tokens):
        outcomes[tokens] = [
            operator.apply(entry, 'shared', tokens, version)[0],
            *(
                operator.apply(entry, f'{entry}-{number}', tokens)[0]
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
    poll(lambda: operator.one_version('entry-0'), IN_FORCE_SECONDS)
    for entry in ('entry-0', 'entry-1'):
        assert operator.tokens(entry, 'shared') == winner
        assert operator.tokens(entry, 'entry-0-2') == 10
        assert operator.tokens(entry, 'entry-1-2') == 20


def test_restart_while_the_store_is_down(operator):
    """A restarted entry has its peers' version; changes wait for the store."""
    assert operator.apply('entry-0', 'kept', 5)[0] == 0
    version = poll(lambda: operator.one_version('entry-0'), IN_FORCE_SECONDS)
    fleet = operator.fleet
    fleet['store'].fault(mode='down')
    fleet['entry-1'].kill()
    fleet.start_entry(1)
    poll(fleet['entry-1'].is_ready)
    assert operator.tokens('entry-1', 'kept') == 5
    code, output = operator.apply('entry-1', 'kept', 6)
    assert code in {1, 7}, output
    fleet['store'].fault(mode='ok')
    assert operator.apply('entry-1', 'kept', 7)[0] == 0
    poll(lambda: operator.one_version('entry-0') > version, IN_FORCE_SECONDS)
    assert operator.tokens('entry-0', 'kept') == 7


def test_lost_answers_of_the_store(operator):
    """A change whose answers are lost is made once and said to be made."""
    before = poll(lambda: operator.one_version('entry-0'), IN_FORCE_SECONDS)
    operator.fleet['store'].fault(
        mode='lose_answers', path_part=ROOT_KEY, probability=0.5
    )
    codes = []
    while 0 not in codes:
        assert len(codes) < 20
        codes.append(operator.apply('entry-0', 'lost', 9)[0])
        assert codes[-1] in {0, 1, 7}
    operator.fleet['store'].fault(mode='ok')
    poll(lambda: operator.one_version('entry-1'), IN_FORCE_SECONDS)
    assert operator.versions('entry-0')['entry-0'] == before + 1
    assert operator.tokens('entry-1', 'lost') == 9


def test_slow_store(operator):
    """A change passes a slow store and is in force in time."""
    operator.fleet['store'].fault(mode='slow', delay_seconds=0.5)
    assert operator.apply('entry-0', 'slow', 3)[0] == 0
    poll(lambda: operator.tokens('entry-1', 'slow') == 3, IN_FORCE_SECONDS)


def test_change_while_a_member_is_frozen(operator):
    """A frozen entry takes the change after the thaw and never goes back."""
    fleet = operator.fleet
    assert operator.apply('entry-0', 'thawed', 1)[0] == 0
    poll(lambda: operator.tokens('entry-1', 'thawed') == 1, IN_FORCE_SECONDS)
    fleet['entry-1'].freeze()
    assert operator.apply('entry-0', 'thawed', 2)[0] == 0
    fleet['store'].fault(mode='down')
    poll(lambda: 'entry-1' not in operator.versions('entry-0'))
    fleet['entry-1'].thaw()
    poll(lambda: operator.tokens('entry-1', 'thawed') == 2, IN_FORCE_SECONDS)
    fleet['store'].fault(mode='ok')
    poll(lambda: operator.one_version('entry-1'), 30)
    assert operator.tokens('entry-1', 'thawed') == 2
