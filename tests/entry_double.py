"""Serve the callers' interface from memory, with selectable flaws."""

from collections import Counter, defaultdict

import trio
from attrs import define, field
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.answers import make_answer
from jasminewheel._internal.http.serving import serve_app
from jasminewheel._internal.http.sse import CONTENT_TYPE, format_event


@define
class EntryDouble:
    """Imitate an entry, with the flaw that `flaw` selects, if any."""

    flaw: str = ''
    refusals: int = 0
    programs: int = 0
    pins: int = 0
    histories: dict = field(factory=lambda: defaultdict(list))
    answers: dict = field(factory=dict)
    runs: Counter = field(factory=Counter)
    app: QuartTrio = field(init=False)

    def __attrs_post_init__(self):
        """Register the routes."""
        self.app = QuartTrio(__name__)
        calls = '/v1/programs/<program>/calls'
        for path, methods, view in (
            ('/v1/programs', ['POST'], self.open),
            ('/v1/programs/<parent>/children', ['POST'], self.open),
            ('/v1/programs/<program>', ['DELETE'], self.end),
            (calls, ['POST'], self.call),
            (f'{calls}/<call>/stream', ['GET'], self.resume),
            ('/v1/calls', ['POST'], self.call),
            ('/control/counts', ['GET'], self.counts),
        ):
            self.app.add_url_rule(path, path, view, methods=methods)

    async def open(self, parent=''):
        """Open a program; refuse the first `refusals` requests."""
        if self.refusals:
            self.refusals -= 1
            problem = {'verdict': 'not-run', 'code': 'overloaded'}
            return problem, 429
        self.programs += 1
        return {'program': str(self.programs)}, 201

    async def end(self, program):
        """End a program."""
        return '', 204

    async def call(self, program=''):
        """Run a call and count its runs."""
        body = await request.get_json()
        request_id = request.headers['Idempotency-Key']
        if 'messages' in body['input']:
            return self.generate(program, request_id, body['input'])
        self.runs[f'{program}/{request_id}'] += 1 + (self.flaw == 'twice')
        if self.flaw == 'denies':
            return {'verdict': 'not-run', 'code': 'target-failed'}, 502
        return jsonify({'input': body['input']})

    def generate(self, program, request_id, asked):
        """Stream an answer to the whole history."""
        history = self.histories[program]
        history.extend(asked['messages'])
        answer = make_answer(asked['model'], history, asked['max_tokens'])
        history.append({'role': 'assistant', 'content': answer.text})
        self.answers[request_id] = answer
        cut = 3 if self.flaw in {'cut', 'short'} else len(answer.tokens)
        return self.stream(answer.tokens[:cut], self.flaw != 'cut')

    async def resume(self, program, call):
        """Stream the rest of an answer."""
        offset = int(request.args['offset'])
        tokens = self.answers[call].tokens
        rest = [token for token in tokens if token.offset >= offset]
        return self.stream(rest, ends=True)

    def stream(self, tokens, ends):
        """Return tokens as events, with or without the final event."""
        events = [
            format_event('token', {'offset': token.offset, 'text': token.text})
            for token in tokens
        ]
        if ends:
            events.append(format_event('done', {}))
        return Response(b''.join(events), content_type=CONTENT_TYPE)

    async def counts(self):
        """Return the counts that engines and services report."""
        return {'runs': dict(self.runs), 'pins': self.pins}

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; report the URL through `task_status`."""
        async with trio.open_nursery() as nursery:
            port = await nursery.start(
                lambda task_status: serve_app(
                    self.app,
                    '127.0.0.1',
                    0,
                    shutdown=trio.Event(),
                    task_status=task_status,
                )
            )
            task_status.started(f'http://127.0.0.1:{port}')
