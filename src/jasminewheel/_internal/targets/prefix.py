"""Name the units in which engines cache prompt prefixes."""

from collections.abc import Iterable, Mapping

import xxhash
from attrs import frozen

_CHARACTERS_PER_TOKEN = 4
_TOKENS_PER_MESSAGE = 4


@frozen
class PrefixBlock:
    """Name one message together with all messages before it."""

    block: str
    tokens: int


def message_tokens(content: str) -> int:
    """Return the tokens that a message with this content takes."""
    return len(content) // _CHARACTERS_PER_TOKEN + _TOKENS_PER_MESSAGE


def chain(
    messages: Iterable[Mapping[str, str]], previous: str = ''
) -> list[PrefixBlock]:
    """Return one block a message, each naming the whole prefix up to it."""
    blocks = []
    for message in messages:
        content = message['content']
        text = f'{previous}{message["role"]}\0{content}'
        previous = xxhash.xxh64_hexdigest(text.encode())
        blocks.append(PrefixBlock(previous, message_tokens(content)))
    return blocks
