"""Check the streams of the fake engine."""

import trio

from jasminewheel._internal.fakes.engine_sequence import Sequence
from jasminewheel._internal.fakes.engine_streams import AnswerStream
from jasminewheel._internal.targets.engine import EngineToken


async def read_slowly(stream):
    """Read a stream that grows by a token while each token is read."""
    stream.add(EngineToken(0, '0'))
    received = []
    with trio.fail_after(5):
        async for token in stream.read(0):
            received.append(token.text)
            count = len(stream.tokens)
            if count < 9:
                stream.add(EngineToken(count, str(count)))
                stream.add(EngineToken(count + 1, str(count + 1)))
            else:
                stream.end('stop')
    return ''.join(received)


def test_no_token_is_left_out():
    """Tokens that are added while the reader is busy are not skipped."""
    sequence = Sequence('one', 0, 1, (), (), 'stop')
    stream = AnswerStream(sequence)
    assert trio.run(read_slowly, stream) == '012345678'
