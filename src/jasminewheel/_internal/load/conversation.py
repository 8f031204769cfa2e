"""Generate the messages of a program and the expected answers."""

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
    """Return random text of about the given number of tokens."""
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
    """Track the messages of one program on the caller's side."""

    model: str
    # Makes the prompt prefixes of different runs differ.
    salt: str = ''
    messages: list[Message] = field(factory=list)
    # Number of messages stored by the system, including the next answer.
    stored_messages: int = 0

    def next_messages(
        self, program_class: ProgramClass, random: Random
    ) -> list[Message]:
        """Append the next turn's messages; return those not yet stored."""
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
        """Append the model's answer."""
        self._add('assistant', text)

    def fork(self) -> 'Conversation':
        """Return a new conversation with a copy of the messages."""
        return Conversation(self.model, self.salt, list(self.messages))

    def expected_answer(self, max_tokens: int) -> str:
        """Return the answer that a fake engine gives to the messages."""
        return make_answer(self.model, self.messages, max_tokens).text

    def prompt_blocks(self) -> dict[str, int]:
        """Return the tokens of each prompt block, without the answers'."""
        return {
            block.block: block.tokens
            for block, message in zip(
                chain(self.messages), self.messages, strict=True
            )
            if message['role'] != 'assistant'
        }

    def _add(self, role: str, text: str) -> None:
        self.messages.append({'role': role, 'content': text})
