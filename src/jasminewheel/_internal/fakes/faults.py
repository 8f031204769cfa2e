"""Inject faults into a fake service on request."""

from collections.abc import Awaitable, Callable
from enum import Enum
from random import Random
from typing import Any

import trio
from attrs import define, field
from quart import Response, jsonify, request

_DROP_HEADER = 'X-Drop-Answer'
_CONTROL_PREFIX = '/control/'
_START = 'http.response.start'
_INTERNAL_ERROR = 500


class FaultMode(Enum):
    """Enumerate the faults that can be injected into requests."""

    ok = 'ok'
    # The connection is closed before the request takes effect.
    down = 'down'
    # No response is sent, and the request takes no effect.
    hang = 'hang'
    slow = 'slow'
    error = 'error'
    # The request takes effect, then the connection is closed.
    lose_answers = 'lose_answers'
    # The request takes effect, but no response is sent.
    hang_after = 'hang_after'
    # The stream of an answer is truncated after `after_tokens` tokens.
    cut_streams = 'cut_streams'


@define
class Faults:
    """Apply the current fault to requests."""

    mode: FaultMode = FaultMode.ok
    delay_seconds: float = 0
    probability: float = 1
    path_part: str = ''
    after_tokens: int = 1
    random: Random = field(factory=lambda: Random(0))

    def is_affected(self, path: str) -> bool:
        """Decide at random whether the fault affects a request to path."""
        if path.startswith(_CONTROL_PREFIX) or self.path_part not in path:
            return False
        return self.random.random() < self.probability

    async def control(self) -> Response:
        """Install the fault that the request describes."""
        fields = await request.get_json(force=True)
        try:
            self.install(fields)
        except (TypeError, ValueError) as error:
            response = jsonify({'error': str(error)})
            response.status_code = 400
            return response
        return jsonify({'mode': self.mode.value})

    def install(self, fields: dict[str, Any]) -> None:
        """Replace the current fault.

        Raises TypeError or ValueError for invalid fields.
        """
        mode = FaultMode(fields.get('mode', 'ok'))
        self.delay_seconds = float(fields.get('delay_seconds', 0))
        self.probability = float(fields.get('probability', 1))
        self.after_tokens = int(fields.get('after_tokens', 1))
        self.path_part = str(fields.get('path_part', ''))
        self.random = Random(int(fields.get('seed', 0)))
        self.mode = mode

    async def before_request(self) -> Response | None:
        """Apply faults that act before the request takes effect."""
        early_modes = {FaultMode.down, FaultMode.hang, FaultMode.slow}
        early_modes.add(FaultMode.error)
        if self.mode not in early_modes or not self.is_affected(request.path):
            return None
        return await self.apply_early_fault()

    async def apply_early_fault(self) -> Response | None:
        """Delay, block, drop or reject the request."""
        if self.mode is FaultMode.slow:
            await trio.sleep(self.delay_seconds)
            return None
        if self.mode is FaultMode.hang:
            await trio.sleep_forever()
        if self.mode is FaultMode.down:
            return drop_answer(Response(''))
        return Response('fault injected', status=_INTERNAL_ERROR)

    async def after_request(self, response: Response) -> Response:
        """Apply faults that act after the request took effect."""
        late_modes = {FaultMode.lose_answers, FaultMode.hang_after}
        if self.mode not in late_modes or not self.is_affected(request.path):
            return response
        if self.mode is FaultMode.hang_after:
            await trio.sleep_forever()
        return drop_answer(response)


def drop_answer(response: Response) -> Response:
    """Mark the response so that its connection is closed instead."""
    response.headers[_DROP_HEADER] = '1'
    return response


@define
class DropMiddleware:
    """Close the connection instead of sending a marked response."""

    app: Callable[..., Awaitable[None]]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Run the application with a send that drops marked responses."""
        await self.app(scope, receive, _DroppingSend(send))


@define
class _DroppingSend:
    send: Callable[[Any], Awaitable[None]]
    is_dropping: bool = False

    async def __call__(self, message: Any) -> None:
        if self.is_dropping:
            return
        if message['type'] == _START and _is_marked(message['headers']):
            # The server closes the connection because the announced byte
            # of the body is never sent.
            self.is_dropping = True
            message = {
                **message,
                'headers': [(b'content-length', b'1')],
            }
        await self.send(message)


def _is_marked(headers: Any) -> bool:
    wanted = _DROP_HEADER.lower().encode()
    return any(name.lower() == wanted for name, _ in headers)
