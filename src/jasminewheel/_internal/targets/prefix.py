"""Compute the block hashes by which engines cache prompt prefixes."""

from collections.abc import Iterable, Mapping

import xxhash
from attrs import frozen

_CHARACTERS_PER_TOKEN = 4
_TOKENS_PER_MESSAGE = 4


@frozen
class PrefixBlock:
    """Identify a prompt prefix by a hash of all its messages.

    `tokens` counts those of the last message only.
    """

    block: str
    tokens: int


def message_tokens(content: str) -> int:
    """Estimate the tokens of a message with this content."""
    return len(content) // _CHARACTERS_PER_TOKEN + _TOKENS_PER_MESSAGE


def chain(
    messages: Iterable[Mapping[str, str]], previous: str = ''
) -> list[PrefixBlock]:
    """Return one block per message, which identifies the prefix up to it."""
    blocks = []
    for message in messages:
        content = message['content']
        text = f'{previous}{message["role"]}\0{content}'
        previous = xxhash.xxh64_hexdigest(text.encode())
        blocks.append(PrefixBlock(previous, message_tokens(content)))
    return blocks
