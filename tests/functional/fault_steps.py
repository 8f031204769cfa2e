"""Advance a request to a step of its processing and hold it there."""

import threading
import time
from contextlib import ExitStack, contextmanager

import httpx
from attrs import define, field
from callers import CallerClient, Stream, ask, service
from server_group import poll

from jasminewheel._internal.membership.rendezvous import hash_score
from jasminewheel._internal.replication.placement import (
    PLACEMENT_KEY,
    Placement,
)

FINAL_SECONDS = 40
MAY_HAVE_RUN = 'may-have-run'


def owner_of(fleet, program):
    """Return the name of the entry that should own a program, by hash."""
    stored = fleet['store'].get(f'/v1/kv/{PLACEMENT_KEY}')
    slot = Placement.from_json(stored['value']).slot_of(program)
    return max(
        (name for name in fleet.servers if name.startswith('entry-')),
        key=lambda name: hash_score(f'slot-{slot}', name),
    )


@define(eq=False)
class Request:
    """Retry one request until its outcome is final, as a caller would."""

    fleet: object
    program: str
    request_id: str
    body: dict
    entry: str
    streams: bool = False
    received: Stream = field(factory=Stream)
    answers: list = field(factory=list)
    thread: threading.Thread = None

    def start(self):
        """Send the request in a background thread."""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        return self

    def run(self):
        """Retry until the answer is final or FINAL_SECONDS passed."""
        deadline = time.monotonic() + FINAL_SECONDS
        while time.monotonic() < deadline and not self.is_final():
            try:
                self.answers.append(self.try_once())
            except (httpx.HTTPError, OSError):
                self.switch_entry()

    def try_once(self):
        """Send the request once; return verdict and body."""
        client = CallerClient(self.fleet[self.entry].url)
        if self.streams:
            return self.stream_once(client)
        answer = client.call(self.program, self.request_id, self.body)
        if answer.status_code == httpx.codes.OK:
            return 'ran', answer.json()
        return answer.json()['verdict'], answer.json()

    def stream_once(self, client):
        """Start the stream, or resume it after the last received event."""
        self.received.end = ''
        if self.received.last_id:
            client.resumed(self.program, self.request_id, self.received)
        else:
            with client.stream(
                self.program, self.request_id, self.body
            ) as lines:
                self.received.read(lines)
        if self.received.end == 'done':
            return 'ran', self.received.fields
        if not self.received.end:
            raise OSError('cut off')
        return self.received.fields['verdict'], self.received.fields

    def switch_entry(self):
        """Select another running entry, as a load balancer does."""
        names = [
            name
            for name, server in self.fleet.servers.items()
            if name.startswith('entry-') and server.popen.poll() is None
        ]
        later = [name for name in names if name > self.entry]
        self.entry = next(iter(later or names), self.entry)
        time.sleep(0.02)

    def is_final(self):
        """Return whether a retry can no longer change the answer."""
        if not self.answers:
            return False
        if self.answers[-1][0] == 'ran':
            return True
        # The verdict may-have-run is final once it is received twice.
        weak = [verdict == MAY_HAVE_RUN for verdict, _ in self.answers[-2:]]
        return len(weak) == 2 and all(weak)

    @property
    def verdict(self):
        """Return the last received verdict, or `none` without an answer."""
        return self.answers[-1][0] if self.answers else 'none'

    def join(self):
        """Wait until the request is final; fail after a time limit."""
        self.thread.join(FINAL_SECONDS + 20)
        assert not self.thread.is_alive()


@define(eq=False)
class Cell:
    """Represent one cell: a program and its requests during a fault."""

    fleet: object
    program: str
    owner: str
    entry: str
    body: dict
    streams: bool = False
    requests: list = field(factory=list)

    def send(self, request_id):
        """Start a request in the background and return it."""
        request = Request(
            self.fleet,
            self.program,
            request_id,
            self.body,
            self.entry,
            self.streams,
        )
        self.requests.append(request.start())
        return request

    def phase(self, request_id):
        """Return the phase of a request as reported by its owner."""
        client = CallerClient(self.fleet[self.entry].url, timeout=5)
        path = f'/v1/programs/{self.program}/calls/{request_id}'
        return client.request('GET', path).json().get('phase')

    def wait_for(self, request_id, phase):
        """Wait until a request has reached a phase."""
        poll(
            lambda: self.phase(request_id) == phase,
            message=f'{request_id} did not reach phase {phase}',
        )

    def runs(self, request_id):
        """Return the number of runs of a request at all tools."""
        return self.fleet.tool_runs().get(f'{self.program}:{request_id}', 0)

    def set_tool_fault(self, **fields):
        """Install a fault in all tools."""
        for tool in self.fleet.named('tool-'):
            tool.set_fault(**fields)


@contextmanager
def faulty_tools(cell, **fields):
    """Inject a fault into all tools for the duration of the context."""
    cell.set_tool_fault(path_part='/v1/call', **fields)
    try:
        yield
    finally:
        cell.set_tool_fault(mode='ok')


@contextmanager
def frozen_processes(cell, *names):
    """Freeze processes for the duration of the context."""
    for name in names:
        cell.fleet[name].freeze()
    try:
        yield
    finally:
        for name in names:
            cell.fleet[name].thaw()


@contextmanager
def forwarded(cell):
    """Forward the request to a frozen owner."""
    with frozen_processes(cell, cell.owner):
        cell.send('one')
        yield


@contextmanager
def queued(cell):
    """Queue the request behind a running one of the same program."""
    with faulty_tools(cell, mode='slow', delay_seconds=1):
        cell.send('zero')
        cell.wait_for('zero', 'running')
        cell.send('one')
        cell.wait_for('one', 'queued')
        yield


@contextmanager
def starting(cell):
    """Prevent the start record from reaching a majority of replicas."""
    with frozen_processes(cell, 'history-0', 'history-1'):
        cell.send('one')
        cell.wait_for('one', 'queued')
        yield


@contextmanager
def started(cell):
    """Commit the start record, but make the tool hang before it runs."""
    with faulty_tools(cell, mode='hang'):
        cell.send('one')
        cell.wait_for('one', 'running')
        yield


@contextmanager
def dispatched(cell):
    """Run the call at the tool, but make its response hang."""
    with faulty_tools(cell, mode='hang_after'):
        cell.send('one')
        poll(lambda: cell.runs('one') == 1, message='not dispatched')
        yield


@contextmanager
def finishing(cell):
    """Prevent the result record from reaching a majority of replicas."""
    with ExitStack() as stack:
        slow = faulty_tools(cell, mode='slow', delay_seconds=0.5)
        stack.enter_context(slow)
        cell.send('one')
        cell.wait_for('one', 'running')
        stack.enter_context(frozen_processes(cell, 'history-0', 'history-1'))
        poll(lambda: cell.runs('one') == 1, message='not dispatched')
        yield


@contextmanager
def answered(cell):
    """Complete the request before the fault."""
    cell.send('one').join()
    yield


@contextmanager
def streaming(cell):
    """Deliver part of the stream to the caller before the fault."""
    request = cell.send('one')
    poll(
        lambda: len(request.received.text) > 10,
        message='the stream delivered no text',
    )
    yield


TEXT_BODY = service('text', to='owner')
STREAM_BODY = ask('the toaster hums and smells of fish', max_tokens=100)
