"""Write the messages of a program and know the answers to expect."""

from collections.abc import Mapping
from random import Random
from typing import TypeAlias

from attrs import define, field

from jasminewheel._internal.fakes.answers import make_answer
from jasminewheel._internal.load.workload import ProgramClass
from jasminewheel._internal.targets.prefix import chain

Message: TypeAlias = Mapping[str, str]

_WORDS = ('kettle', 'lamp', 'toaster', 'sack', 'lot', 'spare', 'yard', 'fuse')
_CHARACTERS_PER_TOKEN = 4
_OVERHEAD_TOKENS = 4


def write_text(random: Random, tokens: int) -> str:
    """Return text of the given size."""
    length = max(1, tokens - _OVERHEAD_TOKENS) * _CHARACTERS_PER_TOKEN
    words = []
    written = 0
    while written < length:
        word = random.choice(_WORDS)
        words.append(word)
        written += len(word) + 1
    return ' '.join(words)[:length]


@define
class Conversation:
    """Hold the messages of one program as its caller knows them."""

    model: str
    # Keeps the prefixes of different runs apart.
    salt: str = ''
    messages: list[Message] = field(factory=list)
    # Messages that the system holds already; the next answer is one.
    stored_messages: int = 0

    def next_messages(
        self, program_class: ProgramClass, random: Random
    ) -> list[Message]:
        """Return the messages of the next turn, added to the others."""
        if not self.messages:
            instructions = write_text(
                Random(f'{self.salt}{program_class.name}'),
                program_class.opening_tokens,
            )
            self._add('system', instructions)
        tokens = program_class.turn_tokens.draw(random)
        self._add('user', write_text(random, tokens))
        stored = self.stored_messages
        self.stored_messages = len(self.messages) + 1
        return self.messages[stored:]

    def add_answer(self, text: str) -> None:
        """Add the model's answer."""
        self._add('assistant', text)

    def fork(self) -> 'Conversation':
        """Return a conversation that starts with the messages so far."""
        return Conversation(self.model, self.salt, list(self.messages))

    def expected_answer(self, max_tokens: int) -> str:
        """Return the answer that a stand-in gives to all messages."""
        return make_answer(self.model, self.messages, max_tokens).text

    def prompt_blocks(self) -> dict[str, int]:
        """Return the tokens of each block that a turn makes compute."""
        return {
            block.block: block.tokens
            for block, message in zip(
                chain(self.messages), self.messages, strict=True
            )
            if message['role'] != 'assistant'
        }

    def _add(self, role: str, text: str) -> None:
        self.messages.append({'role': role, 'content': text})
