"""Check the operators' HTTP interface and jasminewheelctl."""

import json
import sys
from contextlib import asynccontextmanager
from functools import partial
from hashlib import sha256

import httpx
import trio
from attrs import define
from fleets import bench
from members import until
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.faults import FaultMode
from jasminewheel._internal.http.operator_keys import OperatorKey
from jasminewheel._internal.http.serving import serve_app

KEY = 'operator-key'
KEYS = (OperatorKey('asha', sha256(KEY.encode()).hexdigest()),)
TARGET = (
    '{"kind": "target", "name": "desk", "spec": {"kind": "service",'
    ' "runners": []}}'
)
CALLER = (
    '{"kind": "caller", "name": "clerk", "spec": {"key_hashes": [],'
    ' "budget": {"tokens": 10}, "targets": ["desk"]}}'
)


@define
class OperatedFleet:
    """Represent a fleet with operators' HTTP on its first member."""

    fleet: object
    url: str
    client: httpx.AsyncClient
    folder: object

    async def ctl(self, *arguments):
        """Run jasminewheelctl; return its exit code, output and errors."""
        code = 'from jasminewheel.cli.ctl import main; main()'
        (self.folder / 'key').write_text(KEY)
        done = await trio.run_process(
            [
                sys.executable,
                '-c',
                code,
                *arguments,
                '--server',
                self.url,
                '--key-file',
                str(self.folder / 'key'),
            ],
            check=False,
            capture_stdout=True,
            capture_stderr=True,
        )
        return done.returncode, done.stdout.decode(), done.stderr.decode()

    def file(self, name, text):
        """Write a file of resources; return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)


@asynccontextmanager
async def operated(folder, members=1):
    """Run a fleet with operators' HTTP on its first member."""
    async with bench(operators=KEYS) as fleet:
        first = await fleet.start('vm-0')
        for number in range(1, members):
            fleet.nursery.start_soon(
                fleet.start, f'vm-{number}', 'entry', fleet.addresses()
            )
        await until(lambda: len(first.membership.live()) == members)
        app = QuartTrio('operators')
        app.register_blueprint(fleet.sides['vm-0'].blueprint())
        serve = partial(serve_app, app, '127.0.0.1', 0, shutdown=trio.Event())
        port = await fleet.nursery.start(serve)
        url = f'http://127.0.0.1:{port}'
        headers = {'Authorization': f'Bearer {KEY}'}
        async with httpx.AsyncClient(
            base_url=f'{url}/apis/v1', headers=headers
        ) as client:
            yield OperatedFleet(fleet, url, client, folder)


def resources(*texts):
    """Return the body that applies resources."""
    return {'resources': [json.loads(text) for text in texts]}


def test_apply_get_list_delete(tmp_path):
    """Resources are applied in one version, read back and deleted."""

    async def main():
        async with operated(tmp_path) as operator:
            client = operator.client
            made = await client.post('/apply', json=resources(CALLER, TARGET))
            assert made.json()['version'] == 1
            found = (await client.get('/callers/clerk')).json()
            assert found['spec']['targets'] == ['desk']
            assert found['status'] == {'in_force': ['vm-0'], 'behind': []}
            listed = (await client.get('/targets')).json()
            assert [one['name'] for one in listed['items']] == ['desk']
            refused = await client.delete('/targets/desk')
            assert refused.status_code == 422
            stale = await client.delete('/callers/clerk?version=7')
            assert stale.status_code == 409
            gone = await client.delete('/callers/clerk?version=1')
            assert gone.json()['version'] == 2
            missing = await client.get('/callers/clerk')
            assert missing.status_code == 404
            audit = (await client.get('/audit')).json()['changes']
            assert [one['operator'] for one in audit] == ['asha', 'asha']
            assert audit[1]['keys'] == ['caller/clerk']

    trio.run(main)


def test_invalid_input_changes_nothing(tmp_path):
    """Invalid input gets a 4xx status and changes nothing."""

    async def main():
        async with operated(tmp_path) as operator:
            client = operator.client
            wrong = json.loads(CALLER)
            wrong['spec']['priority'] = 'high'
            answer = await client.post(
                '/apply', json={'resources': [json.loads(TARGET), wrong]}
            )
            assert answer.status_code == 422
            paths = [one['path'] for one in answer.json()['fields']]
            assert paths == ['resources[1].spec.priority']
            twice = await client.post('/apply', json=resources(TARGET, TARGET))
            assert twice.status_code == 422
            assert (
                await client.post('/apply', content=b'{')
            ).status_code == 400
            deep = await client.post('/apply', content=b'[' * 100_000)
            assert deep.status_code == 400
            listed = await client.post('/apply', json=[])
            assert listed.status_code == 400
            assert (await client.get('/robots')).status_code == 404
            assert (await client.get('/watch?after=x')).status_code == 400
            bare = await httpx.AsyncClient().get(
                f'{operator.url}/apis/v1/status'
            )
            assert bare.status_code == 401
            first = operator.fleet.fleets['vm-0']
            assert first.view.current.version == 0

    trio.run(main)


def test_watch(tmp_path):
    """A watch waits for the next version and returns its changes."""

    async def main():
        async with operated(tmp_path) as operator:
            client = operator.client
            seen = []

            async def watch():
                answer = await client.get('/watch?after=0')
                seen.extend(answer.json()['changes'])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await client.post('/apply', json=resources(TARGET))
            assert [(one['type'], one['name']) for one in seen] == [
                ('put', 'desk'),
            ]
            await client.delete('/targets/desk')
            later = (await client.get('/watch?after=1')).json()
            assert [one['type'] for one in later['changes']] == ['delete']
            idle = await client.get('/watch?after=2&wait_seconds=0')
            assert idle.json() == {'version': 2, 'changes': []}

    trio.run(main)


def test_store_down(tmp_path):
    """Changes are refused while the store is down; reads still work."""

    async def main():
        async with operated(tmp_path) as operator:
            operator.fleet.stand_in.faults.mode = FaultMode.down
            refused = await operator.client.post(
                '/apply', json=resources(TARGET)
            )
            assert refused.status_code == 503
            assert (await operator.client.get('/targets')).status_code == 200

    trio.run(main)


def test_ctl(tmp_path):
    """The command line applies, shows and compares; exit codes match."""

    async def main():
        async with operated(tmp_path, members=2) as operator:
            desk = operator.file('desk.jsonc', f'// a desk\n{TARGET}')
            clerk = operator.file('clerk.json', f'[{CALLER}]')
            assert (await operator.ctl('diff', '-f', desk))[0] == 6
            code, output, _ = await operator.ctl('apply', '-f', desk, clerk)
            assert code == 0
            assert 'version 1' in output
            assert (await operator.ctl('diff', '-f', desk, clerk))[0] == 0
            await operator.fleet.until_version(1)
            code, output, _ = await operator.ctl('status')
            assert 'vm-1' in output
            code, output, _ = await operator.ctl(
                'get', 'caller', 'clerk', '--output', 'json'
            )
            in_force = json.loads(output)['status']['in_force']
            assert in_force == ['vm-0', 'vm-1']
            code, output, _ = await operator.ctl('list', 'targets')
            assert 'desk' in output
            code, _, errors = await operator.ctl('delete', 'target', 'desk')
            assert code == 3
            assert 'caller/clerk.spec.targets[0]' in errors
            assert (await operator.ctl('get', 'caller', 'nobody'))[0] == 5
            assert (await operator.ctl('fly'))[0] == 2
            code, output, _ = await operator.ctl('audit')
            assert 'asha' in output
            code, output, _ = await operator.ctl('explain', 'vm-1')
            assert 'JW1500' in output

    trio.run(main)
