"""Make the deterministic answers of the model engine's stand-in."""

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
    """Hold a whole answer."""

    tokens: tuple[EngineToken, ...]
    finish: str

    @property
    def text(self) -> str:
        """Return the answer's whole text."""
        return ''.join(token.text for token in self.tokens)

    def continuation(self, text: str) -> tuple[EngineToken, ...]:
        """Return what follows text; raise ValueError if it is no prefix."""
        if not self.text.startswith(text):
            raise ValueError('continue_text is not the start of the answer')
        return tokens_from(self.tokens, len(text))


def tokens_from(
    tokens: Sequence[EngineToken], offset: int
) -> tuple[EngineToken, ...]:
    """Return the tokens from a character offset on, the first one cut."""
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
    """Return the answer that each stand-in gives to the messages."""
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
