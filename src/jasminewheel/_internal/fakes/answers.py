"""Generate the deterministic answers of the fake engine."""

import json
from collections.abc import Mapping, Sequence

import xxhash
from attrs import frozen

from jasminewheel._internal.targets.engine import EngineToken

_WORDS = (
    ' kettle',
    ' lamp',
    ' bike',
    ' fuse',
    ' sack',
    ' lot',
    ' yard',
    ' price',
    ' check',
    ' the',
    ' part',
    ' on',
    ' Saturday',
    ' please',
    ' and',
    ' then',
)
_MIN_ANSWER_TOKENS = 16
_ANSWER_LENGTH_RANGE = 112


@frozen
class Answer:
    """Represent a complete answer."""

    tokens: tuple[EngineToken, ...]
    finish: str

    @property
    def text(self) -> str:
        """Return the concatenated text of all tokens."""
        return ''.join(token.text for token in self.tokens)

    def continuation(self, text: str) -> tuple[EngineToken, ...]:
        """Return the tokens that follow text.

        Raises ValueError if text is not a prefix of the answer.
        """
        if not self.text.startswith(text):
            raise ValueError('continue_text is not the start of the answer')
        return tokens_from(self.tokens, len(text))


def tokens_from(
    tokens: Sequence[EngineToken], offset: int
) -> tuple[EngineToken, ...]:
    """Return the tokens from a character offset; the first may be partial."""
    rest = []
    for token in tokens:
        skipped = max(0, offset - token.offset)
        if skipped < len(token.text):
            rest.append(
                EngineToken(token.offset + skipped, token.text[skipped:]),
            )
    return tuple(rest)


def make_answer(
    model: str,
    messages: Sequence[Mapping[str, str]],
    max_tokens: int,
    adapter: str = '',
) -> Answer:
    """Return the answer that every fake engine gives to the messages."""
    pairs = [[message['role'], message['content']] for message in messages]
    seed = xxhash.xxh64_intdigest(json.dumps([model, adapter, pairs]).encode())
    full_length = _MIN_ANSWER_TOKENS + seed % _ANSWER_LENGTH_RANGE
    tokens = []
    offset = 0
    for index in range(min(full_length, max_tokens)):
        digest = xxhash.xxh64_intdigest(f'{seed}:{index}'.encode())
        word = _WORDS[digest % len(_WORDS)]
        tokens.append(EngineToken(offset, word))
        offset += len(word)
    finish = 'stop' if full_length <= max_tokens else 'length'
    return Answer(tuple(tokens), finish)
