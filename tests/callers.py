"""Send requests to the entries of a test fleet as a caller."""

import json
from contextlib import contextmanager

import httpx
from attrs import define, field

# Shared because creating a client is slow. Connections are not reused, since
# tests terminate entries.
HTTP = httpx.Client(
    verify=False, limits=httpx.Limits(max_keepalive_connections=0)
)


@define
class Stream:
    """Assemble the events of a streamed answer."""

    text: str = ''
    restarts: int = 0
    last_id: str = ''
    name: str = ''
    end: str = ''
    fields: dict = field(factory=dict)

    def read(self, lines, until=None):
        """Apply events up to the end, or up to `until` characters of text."""
        wanted = until or float('inf')
        for line in lines:
            self.parse_line(line)
            if self.end or len(self.text) >= wanted:
                break
        return self

    def parse_line(self, line):
        """Parse one line of an event; apply the event at its data line."""
        kind, _, content = line.partition(': ')
        if kind == 'id':
            self.last_id = content
        elif kind == 'event':
            self.name = content
        elif kind == 'data':
            self.apply_event(self.name, json.loads(content))

    def apply_event(self, name, fields):
        """Apply one event to the text."""
        if name == 'token':
            assert fields['offset'] == len(self.text), (
                'token offset has a gap or overlap'
            )
            self.text += fields['text']
        elif name == 'restart':
            self.text = ''
            self.restarts += 1
        else:
            self.end = name
            self.fields = fields


@define
class CallerClient:
    """Send requests to one entry, authenticated by a caller's key."""

    url: str
    key: str = 'cafe-key'
    timeout: float = 60

    def request(self, method, path, request_id='', body=None, **options):
        """Send a request and return the response."""
        headers = {
            'Authorization': f'Bearer {self.key}',
            **options.pop('headers', {}),
        }
        if request_id:
            headers['Idempotency-Key'] = request_id
        return HTTP.request(
            method,
            f'{self.url}{path}',
            json=body,
            headers=headers,
            timeout=self.timeout,
            **options,
        )

    def open(self, request_id, **body):
        """Open a program and return its identifier."""
        answer = self.request('POST', '/v1/programs', request_id, body)
        assert answer.status_code == httpx.codes.CREATED, answer.text
        return answer.json()['program']

    def call(self, program, request_id, body):
        """Make a call and return the response."""
        path = f'/v1/programs/{program}/calls'
        return self.request('POST', path, request_id, body)

    @contextmanager
    def stream(self, program, request_id, body):
        """Make a call with a streamed answer and yield its lines."""
        with HTTP.stream(
            'POST',
            f'{self.url}/v1/programs/{program}/calls',
            json={**body, 'stream': True},
            headers={
                'Authorization': f'Bearer {self.key}',
                'Idempotency-Key': request_id,
            },
            timeout=self.timeout,
        ) as answer:
            assert answer.status_code == httpx.codes.OK, answer.read()
            yield answer.iter_lines()

    def streamed(self, program, request_id, body):
        """Make a call and return its complete streamed answer."""
        with self.stream(program, request_id, body) as lines:
            return Stream().read(lines)

    def resumed(self, program, request_id, received):
        """Read the rest of an answer after its last received event."""
        path = f'/v1/programs/{program}/calls/{request_id}/stream'
        with HTTP.stream(
            'GET',
            f'{self.url}{path}',
            headers={
                'Authorization': f'Bearer {self.key}',
                'Last-Event-ID': received.last_id,
            },
            timeout=self.timeout,
        ) as answer:
            assert answer.status_code == httpx.codes.OK, answer.read()
            return received.read(answer.iter_lines())


def ask(content, max_tokens=200):
    """Return the body of a model call."""
    return {
        'target': 'helper-models',
        'input': {
            'messages': [{'role': 'user', 'content': content}],
            'max_tokens': max_tokens,
        },
    }


def service(operation, **content):
    """Return the body of a service call."""
    return {
        'target': 'ticket-desk',
        'operation': operation,
        'input': content,
    }
