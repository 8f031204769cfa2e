"""Check the streams of the stand-in's engine."""

import trio
from test_engine_batch import sequence

from jasminewheel._internal.fakes.engine_streams import AnswerStream


async def read_slowly(stream):
    """Add a token and the end while a reader is at the first one."""
    tokens = stream.sequence.tokens
    stream.add(tokens[0])
    texts = []
    async for token in stream.read(0):
        texts.append(token.text)
        if len(texts) < len(tokens):
            stream.add(tokens[len(texts)])
        else:
            stream.end('stop')
    return texts


def test_slow_reader_misses_nothing():
    """Tokens that come in during a read are read too."""
    stream = AnswerStream(sequence(1, 'the kettle'))
    texts = trio.run(read_in_time, stream)
    assert texts == [token.text for token in stream.sequence.tokens]


async def read_in_time(stream):
    """Read the stream, or fail if it does not come to its end."""
    with trio.fail_after(5):
        return await read_slowly(stream)
