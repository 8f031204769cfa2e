"""Stand-ins of the platform for the scripts of this review.

A store, runners and clients after the users' PROTOCOL page, and the start of
the roles with the commands of the deploy file. Standard library only, loopback
addresses only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2
# What ends the work on a connection, also when the script ends.
BROKEN = (
    asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError,
    ValueError,
)
HOST = 'ficu95.example'
ZONES = {'teku': 'bagmati', 'balaju': 'bagmati', 'pokhara-lk': 'gandaki'}
BOUNDS = {
    'SeedLagS': 3, 'AddrReuseS': 2, 'ContactMs': 4000, 'AckMs': 5000,
    'CatchUpS': 4.9, 'DrainMs': 2500, 'GraceS': 8, 'LossSlackMs': 200,
    'ConfigApplyMs': 2500, 'RollbackSlackMs': 250, 'SkewMaxMs': 6000,
    'RecoverS': 12, 'PassMs': 300, 'AgainS': 0, 'DeadlineS': 10,
    'SettleMs': 1000,
}


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self.started = time.monotonic()

    def line(self, text):
        at = time.monotonic() - self.started
        print(f'{at:8.3f} s  {text}', file=self.file, flush=True)

    def now(self):
        return time.monotonic() - self.started


async def read_message(reader):
    """Return the first line, the headers (lower case) and the body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rows = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for row in rows:
        name, _, value = row.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


def message(status, headers, body=b''):
    rows = [f'HTTP/1.1 {status} x']
    rows += [f'{name}: {value}' for name, value in headers.items()]
    rows.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(rows).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's store; each machine reaches it at a port of its own."""

    def __init__(self, record, ip):
        self.record, self.ip = record, ip
        self.revision = 100
        self.items, self.events, self.leases = {}, [], {}
        self.changed = asyncio.Event()
        self.turned_away = {}
        self.next_lease = 500
        self.addresses = {}

    async def address(self, machine):
        if machine not in self.addresses:
            server = await asyncio.start_server(
                lambda r, w: self.serve(machine, r, w), self.ip, 0
            )
            port = server.sockets[0].getsockname()[1]
            self.addresses[machine] = f'{self.ip}:{port}'
        return self.addresses[machine]

    async def serve(self, machine, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                _, target, _ = first.split(' ', 2)
                mode = self.turned_away.get(machine)
                if mode == 'busy':
                    status, reply = 503, None
                elif mode == 'silent':
                    await asyncio.sleep(3600)
                else:
                    status, reply = await self.reply(machine, target, body)
                    if self.turned_away.get(machine):
                        status, reply = 503, None
                text = b'' if reply is None else json.dumps(reply).encode()
                writer.write(
                    message(status, {'Content-Type': 'application/json'}, text)
                )
                await writer.drain()
        except BROKEN:
            pass
        finally:
            writer.close()

    def write(self, key, value, lease=0, created=None):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = item = {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Revision': self.revision,
            'CreatedRev': old['CreatedRev'] if old else self.revision,
            'Lease': lease,
        }
        self.note(item)
        return self.revision

    def write_json(self, key, fields):
        return self.write(key, json.dumps(fields).encode())

    def read_json(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['Value'])) if item else None

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.items.pop(key)
            self.note({'Key': key, 'Revision': self.revision, 'Deleted': True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        """End the leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends) in list(self.leases.items()):
                if ends <= now:
                    self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['Lease'] == lease:
                self.remove(key)

    async def reply(self, machine, target, body):
        path, _, query = target.partition('?')
        asked = dict(parse_qsl(query, keep_blank_values=True))
        name, _, argument = path.lstrip('/').partition('/')
        fields = json.loads(body) if body else {}
        if name == 'kv-key':
            found = self.items.get(asked['Key'])
            if found is None:
                return 404, None
            return 200, {**found, 'AsOf': self.revision}
        if name == 'kv-range':
            after = asked.get('after', '')
            keys = sorted(
                key for key in self.items
                if key.startswith(asked['Prefix']) and key > after
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'HasMore': len(keys) > 500,
                'AsOf': self.revision,
            }
        if name == 'kv-watch':
            return await self.watch(asked)
        if name == 'kv-txn':
            return self.change(machine, fields)
        if name == 'kv-lease':
            self.next_lease += 1
            seconds = fields['TtlMs'] / 1000
            self.leases[self.next_lease] = (seconds, time.monotonic() + seconds)
            return 200, {'Lease': self.next_lease, 'TtlMs': fields['TtlMs']}
        lease = int(argument)
        if lease not in self.leases:
            return 404, None
        if name == 'kv-keep':
            seconds = self.leases[lease][0]
            self.leases[lease] = (seconds, time.monotonic() + seconds)
            return 200, {'TtlMs': int(seconds * 1000)}
        self.end(lease)
        return 200, {}

    async def watch(self, asked):
        after, prefix = int(asked['after']), asked['Prefix']
        ends = time.monotonic() + int(asked['WaitMs']) / 1000
        while True:
            found = [
                one for one in self.events
                if one['Revision'] > after and one['Key'].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'AsOf': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, machine, fields):
        rows = fields.get('IfRevision') or []
        current = [
            self.items.get(row['Key'], {'Key': row['Key'], 'Revision': 0})
            for row in rows
        ]
        if [one['Revision'] for one in current] != [
            row['Revision'] for row in rows
        ]:
            return 412, {'items': current}
        for put in fields.get('Puts') or []:
            if put['Key'].startswith(('op/', 'servers/')):
                return 403, None
            if put.get('Lease') and put['Lease'] not in self.leases:
                return 404, None
        for put in fields.get('Puts') or []:
            value = base64.b64decode(put['Value'])
            self.write(put['Key'], value, put.get('Lease') or 0)
            if not put['Key'].startswith('jasminewheel/entries/'):
                self.record.line(
                    f'store: {machine} writes {put["Key"]} = '
                    f'{value.decode("latin-1")[:400]}'
                )
        for key in fields.get('Remove') or []:
            self.remove(key)
        return 200, {'Revision': self.revision}


class Runner:
    """A runner of a service; it works on each request that is its own."""

    def __init__(self, fleet, name, service, zone, streams):
        self.fleet, self.name, self.service = fleet, name, service
        self.zone, self.streams = zone, streams
        self.runs = []
        self.running = 0
        self.events, self.gap_s, self.work_s = 4, 0.02, 0.02
        self.born = int(time.time() * 1000)
        self.address = ''

    async def start(self):
        server = await asyncio.start_server(
            self.serve, self.fleet.runner_ip, 0
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f'{self.fleet.runner_ip}:{port}'
        self.fleet.keep(self.beat())

    async def beat(self):
        sequence = 0
        while True:
            sequence += 1
            self.fleet.store.write_json(
                f'servers/{self.name}',
                {
                    'Service': self.service, 'Address': self.address,
                    'Zone': self.zone, 'Version': 'v1', 'Slots': 96,
                    'State': 'ready', 'ColdLeftMs': 0, 'Seq': 1,
                    'born': self.born,
                },
            ) if sequence == 1 else None
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self.answer(first, headers, body, writer)
        except BROKEN:
            pass
        finally:
            writer.close()

    async def answer(self, first, headers, body, writer):
        if headers.get('target-instance', self.name) != self.name:
            writer.write(message(421, {'Instance-Id': self.name}))
            return
        call = headers.get('request-id', '')
        self.runs.append((call, body, self.fleet.record.now()))
        self.fleet.record.line(
            f'{self.name}: runs {call} {first.rsplit(" ", 1)[0]} '
            f'body {body.decode("latin-1")!r}'
        )
        self.running += 1
        told = {
            'Request-Id': call,
            'Response-Signature': f'sig.{self.name}.{call}',
            'Server-Load': f'{self.running},0,96',
        }
        try:
            await asyncio.sleep(self.work_s)
            if not self.streams:
                writer.write(message(200, told, b'done ' + call.encode()))
                await writer.drain()
                return
            rows = [f'{name}: {value}' for name, value in told.items()]
            writer.write(
                ('HTTP/1.1 200 OK\r\n' + '\r\n'.join(rows) + '\r\nContent-Type:'
                 ' text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n')
                .encode()
            )
            for number in range(1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f'id: {number}\ndata: {call}-{number}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            self.running -= 1


class Answer:
    """What a client got."""

    def __init__(self, status, headers, body, whole):
        self.status, self.headers = status, headers
        self.body, self.whole = body, whole

    def __str__(self):
        if not self.status:
            return 'no answer'
        whole = 'whole' if self.whole else 'broken off'
        return f'{self.status}, {whole}, body {self.body.decode("latin-1")!r}'


async def ask(address, method, path, headers, body=b'', timeout=8.0):
    """Send one request on a new connection, as a client does."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return Answer(0, {}, b'', False)
    rows = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    rows += [f'{name}: {value}' for name, value in headers.items()]
    if method != 'GET':
        rows.append(f'Content-Length: {len(body)}')
    try:
        async with asyncio.timeout(timeout):
            writer.write('\r\n'.join(rows).encode() + b'\r\n\r\n' + body)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b'', False)
    finally:
        writer.close()


async def read_answer(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rows = head.decode('latin-1').split('\r\n')[:-2]
    status = int(first.split(' ')[1])
    headers = {}
    for row in rows:
        name, _, value = row.partition(':')
        headers[name.strip().lower()] = value.strip()
    body, whole = b'', False
    try:
        if headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int((await reader.readline()).strip(), 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            size = int(headers.get('content-length', '0'))
            body = await reader.readexactly(size)
        whole = True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        pass
    return Answer(status, headers, body, whole)


class Process:
    """One process of a role on a machine of its own."""

    def __init__(self, fleet, name, role, zone, number):
        self.fleet, self.name, self.role = fleet, name, role
        self.zone, self.ip = zone, f'{fleet.net}.{number}'
        self.front, self.ready = f'{self.ip}:8149', f'{self.ip}:8141'
        self.control = f'{self.ip}:8144'
        self.bootstrap = True
        self.child = None

    async def settings(self):
        entry = self.role == 'entry'
        listen = {'Front': self.front, 'Ready': self.ready}
        rows = {
            'NodeName': self.name, 'Role': self.role,
            'MachineClass': 'front' if entry else 'store',
            'Serves': ['front'] if entry else ['store', 'control'],
            'Ip': self.ip, 'Zone': self.zone, 'Region': ZONES[self.zone],
            'PortRange': [7380, 7395], 'Seeds': self.fleet.seeds,
            'Bootstrap': self.bootstrap, 'InFaultBudget': not entry,
            'Discovery': 'platform', 'Entry': 'vip', 'HeartbeatMs': 1200,
            'Contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'agent', 'stream', 'engine', 'platform'],
        }
        if not entry:
            rows['DataDir'] = str(self.fleet.folder / self.name)
        tables = {
            'Zones': ZONES,
            'Listen': listen if entry else {'Control': self.control},
            'Limits': {'CpuShare': 0.537, 'Cores': 2, 'MemoryMb': 300,
                       'MaxFds': 4100, 'LinkMbps': 1000.0,
                       'DiskMb': 0 if entry else 310},
            'FaultTolerance': {'Machines': 1, 'Zones': 0, 'Regions': 0},
            'Bounds': BOUNDS,
            'Platform': {
                'Address': await self.fleet.store.address(self.name),
                'form': 'kv', 'WritesPerS': 400, 'ReadsPerS': 2000,
                'HistoryS': 20, 'ValueBytes': 1048576, 'TtlMinMs': 1000,
            },
        }
        text = ''.join(f'{name} = {json.dumps(rows[name])}\n' for name in rows)
        for table, fields in tables.items():
            text += f'[{table}]\n' + ''.join(
                f'{name} = {json.dumps(fields[name])}\n' for name in fields
            )
        return text

    async def start(self):
        path = self.fleet.folder / f'{self.name}.toml'
        path.write_text(await self.settings(), encoding='utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['JASMINEWHEEL_NODE_FILE'] = str(path)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        command = deploy['roles'][self.role]['run'].split(' ')
        log = open(self.fleet.folder / f'{self.name}.log', 'ab')
        self.child = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self.fleet.record.line(f'platform: starts {self.name}')

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.fleet.record.line(
                f'platform: {signal.Signals(number).name} to {self.name}'
            )
            self.child.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.child.wait()

    async def is_ready(self):
        answer = await ask(self.ready, 'GET', '/ready', {}, timeout=0.5)
        return answer.status == 200


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        draw = random.Random(os.getpid() * 7919 + time.time_ns())
        self.net = f'127.{draw.randint(20, 220)}.{draw.randint(1, 250)}'
        self.runner_ip = f'{self.net}.200'
        self.store = Store(self.record, f'{self.net}.250')
        self.tasks, self.processes, self.runners = [], {}, {}
        self.seeds = []
        self.next_number = 10

    def keep(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    def add(self, name, role, zone):
        self.next_number += 1
        self.processes[name] = one = Process(
            self, name, role, zone, self.next_number
        )
        return one

    async def runner(self, name, service, zone, *, streams):
        self.runners[name] = one = Runner(self, name, service, zone, streams)
        await one.start()
        return one

    def configure(self, version, routes, services):
        limits = {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                  'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000}
        self.store.write_json('op/config', {
            'Version': version, 'Routes': routes, 'Services': services,
            'Limits': limits,
        })

    def standard_configuration(self, version=7, retention_s=60.0):
        self.configure(
            version,
            [
                {'Name': 'r-turns', 'Host': HOST, 'Prefix': '/lohu930/',
                 'Kind': 'streaming', 'TimeoutMs': 6000,
                 'TargetLatencyMs': 300, 'Priority': 1, 'Service': 'huvo11a',
                 'MaxAttempts': 2, 'RetainHistory': True,
                 'RetentionS': retention_s, 'StickySessions': True,
                 'Resumable': False, 'GapAimMs': 400},
                {'Name': 'r-book', 'Host': HOST, 'Prefix': '/puxa403/',
                 'Kind': 'unsafe', 'TimeoutMs': 6000, 'TargetLatencyMs': 1000,
                 'Priority': 2, 'Service': 'wuno96b', 'MaxAttempts': 1},
                {'Name': 'r-look', 'Host': HOST, 'Prefix': '/pule252/',
                 'Kind': 'safe', 'TimeoutMs': 1500, 'TargetLatencyMs': 300,
                 'Priority': 2, 'Service': 'wuno96b', 'MaxAttempts': 2},
            ],
            [
                {'Name': 'huvo11a', 'HealthPath': '/health',
                 'MaxConnections': 490, 'Protocol': 'h1', 'Tls': False,
                 'Engine': {'Slots': 96, 'KvCacheTokens': 213037,
                            'StreamStride': 2, 'Models': [{'Name': 'm'}]}},
                {'Name': 'wuno96b', 'HealthPath': '/health',
                 'MaxConnections': 100, 'Protocol': 'h1', 'Tls': False},
            ],
        )

    def turn_headers(self, call, program, previous='', budget=4000, **more):
        headers = {
            'Request-Id': call, 'Model': 'm', 'Program-Id': program,
            'Session-Id': f's{program}', 'Program-Deadline-Ms': '60000',
            'Token-Budget': str(budget), 'Token-Usage': '100,80',
            'Prompt-Prefix': '5c1e07a2:100', 'Deadline-Ms': '6000',
        }
        if previous:
            headers['Previous-Turn'] = previous
        headers.update(more)
        return headers

    async def turn(self, process, call, program, previous='', text='', **more):
        """Send one turn as a client attempt, and note what came back."""
        body = (text or f'input of {call}').encode()
        self.record.line(
            f'client: sends turn {call} to {process.name}, '
            f'Previous-Turn {previous or "none"}'
        )
        answer = await ask(
            process.front, 'POST', '/lohu930/4b',
            self.turn_headers(call, program, previous, **more), body,
        )
        self.record.line(f'client: turn {call} gets {answer}')
        return answer

    async def first_turn(self, process, seconds=8.0):
        """Wait until a turn is served: the deployment has started."""
        ends = time.monotonic() + seconds
        number = 0
        while True:
            number += 1
            answer = await self.turn(
                process, f'40c8f1a7b3e926{number:02x}', f'p0{number}'
            )
            if answer.status == 200:
                return
            if time.monotonic() > ends:
                raise RuntimeError('the first turns were not served')
            await asyncio.sleep(0.3)

    async def wait_ready(self, names, seconds=20.0):
        ends = time.monotonic() + seconds
        for name in names:
            while not await self.processes[name].is_ready():
                if time.monotonic() > ends:
                    raise RuntimeError(f'{name} did not get ready')
                await asyncio.sleep(0.05)

    async def wait_for(self, holds, seconds, what):
        ends = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > ends:
                raise RuntimeError(f'not within {seconds} s: {what}')
            await asyncio.sleep(0.02)

    def members(self):
        """Return the machines that the system's own key lists, to time."""
        found = self.store.read_json('jasminewheel/replicas')
        if not found or found['joining']:
            return []
        return sorted(one['vm'] for one in found['members'])

    async def close(self):
        for one in self.processes.values():
            if one.child and one.child.returncode is None:
                one.child.send_signal(signal.SIGCONT)
                one.child.kill()
                await one.child.wait()
        for task in self.tasks:
            task.cancel()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, limit_s=115.0):
    """Run a case with its own deployment; exit as the issue asks."""

    async def main():
        fleet = Fleet(folder)
        fleet.keep(fleet.store.expire())
        try:
            async with asyncio.timeout(limit_s):
                broken = await case(fleet)
        except Exception as error:
            fleet.record.line(f'could not run: {error!r}')
            print(f'could not run: {error!r}', file=sys.stderr)
            return NOT_RUN
        finally:
            await fleet.close()
        fleet.record.line('the rule was ' + ('broken' if broken else 'kept'))
        return RULE_BROKEN if broken else RULE_HELD

    sys.exit(asyncio.run(main()))
