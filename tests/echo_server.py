"""Answer at once on the stack that the entry uses: python -m tests.echo_server.

It prints its port, and answers paths below /turns/ in events.
"""

import sys

import trio

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import HttpRequest
from jasminewheel._internal.web.server import WebServer

EVENTS = 17
BODY = b'x' * 800


async def answer(request: HttpRequest, answer_writer: AnswerWriter) -> None:
    """Answer whole or in events."""
    if not request.target.startswith(b'/turns/'):
        await answer_writer.send_whole(200, [], BODY)
        return
    await answer_writer.start(200, [])
    number = 0
    while number < EVENTS:
        await answer_writer.send(b'id: %d\ndata: w%d\n\n' % (number, number))
        number += 1
        # As from a runner, each event is a step of its own.
        await trio.sleep(0)
    await answer_writer.finish()


async def main() -> None:
    """Serve until ended."""
    async with trio.open_nursery() as nursery:
        web = WebServer(answer, lambda _fault: None)
        port = await nursery.start(web.serve, '127.0.0.1', 0)
        sys.stdout.write(f'{port}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    trio.run(main)
