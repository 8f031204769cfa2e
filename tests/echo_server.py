"""Answer at once by the entry's HTTP stack: python -m tests.echo_server.

Print the port, and answer paths below /turns/ as streams of events.
"""

import sys

import trio

from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import HttpRequest
from jasminewheel._internal.web.server import WebServer

EVENTS = 17
BODY = b'x' * 800


async def answer(request: HttpRequest, answer_writer: AnswerWriter) -> None:
    """Answer whole, or as a stream of events."""
    if not request.target.startswith(b'/turns/'):
        await answer_writer.send_whole(200, [], BODY)
        return
    await answer_writer.start(200, [])
    number = 0
    while number < EVENTS:
        await answer_writer.send(b'id: %d\ndata: w%d\n\n' % (number, number))
        number += 1
        # Yield to the event loop, so that each event is sent separately, as by
        # a runner.
        await trio.sleep(0)
    await answer_writer.finish()


async def main() -> None:
    """Serve until the process is terminated."""
    async with trio.open_nursery() as nursery:
        web = WebServer(answer, lambda _fault: None)
        port = await nursery.start(web.serve, '127.0.0.1', 0)
        sys.stdout.write(f'{port}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    trio.run(main)
