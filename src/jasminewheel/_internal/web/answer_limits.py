"""Limit the size and memory of answers; a faulty server may never stop."""

from attrs import define, field, frozen
from attrs.validators import ge

from jasminewheel.errors import AnswerMemoryError, AnswerTooLongError

# Status line and header fields; usual ones take less than 1 KiB.
HEAD_BYTES = 65536
# Header fields of one response; usual ones have some ten.
HEADER_FIELDS = 128
# Responses read for one request: its answer, interim responses and responses
# to other requests.
RESPONSES = 16
# Pieces of one body, such as chunks.
BODY_PARTS = 65536
# Bytes read before the answer to a request: interim responses and responses
# to other requests.
UNMATCHED_BYTES = 1048576
# Framing (chunk sizes, trailers) between two parts of a body, and framing in
# total beyond the number of bytes of the body.
FRAMING_BYTES = 65536
# One answer from its head to its end, framing included: 8 MiB.
ANSWER_BYTES = 8388608
# Buffered bytes of one answer: 4 MiB, the same as for a request.
ANSWER_MEMORY_BYTES = 4194304
# An answer up to this size reserves nothing from the shared pool; nearly all
# answers are smaller, so large ones cannot block them.
SMALL_ANSWER_BYTES = 16384
# Memory that all larger answers share: 8 MiB, sized for a small VM.
MEMORY_POOL_BYTES = 8388608
# One event of a stream; usual ones take a few hundred bytes.
EVENT_BYTES = 1048576
# Events of a stream whose caller sets no maximum of tokens.
MAX_STREAM_EVENTS = 65536
# The rest of an unused answer is read up to these limits, so that its
# connection can be reused.
DISCARD_BYTES = 65536
DISCARD_SECONDS = 0.1


@frozen
class AnswerLimits:
    """Define how many bytes one connection reads for one request."""

    head_bytes: int = field(default=HEAD_BYTES, validator=ge(1))
    unmatched_bytes: int = field(default=UNMATCHED_BYTES, validator=ge(1))
    framing_bytes: int = field(default=FRAMING_BYTES, validator=ge(1))
    answer_bytes: int = field(default=ANSWER_BYTES, validator=ge(1))


@define(eq=False)
class AnswerMemoryPool:
    """Limit the memory that the large answers of a process share."""

    free_bytes: int = field(default=MEMORY_POOL_BYTES, validator=ge(0))

    def reserve(self, count: int) -> None:
        """Reserve bytes, or release them if the count is negative.

        Raise AnswerMemoryError if too few bytes are free.
        """
        if count > self.free_bytes:
            raise AnswerMemoryError(
                'the memory shared by large answers is used up'
            )
        self.free_bytes -= count


@define(eq=False)
class AnswerMemory:
    """Account for the buffered bytes of one answer."""

    pool: AnswerMemoryPool = field(factory=AnswerMemoryPool)
    max_bytes: int = field(default=ANSWER_MEMORY_BYTES, validator=ge(1))
    reserved_bytes: int = 0

    def check_size(self, size: int) -> None:
        """Raise AnswerTooLongError if the size exceeds the maximum."""
        if size > self.max_bytes:
            raise AnswerTooLongError(
                f'answer exceeds {self.max_bytes} buffered bytes'
            )

    def resize(self, size: int) -> None:
        """Set the number of buffered bytes.

        Raise AnswerTooLongError if it exceeds the maximum of an answer, and
        AnswerMemoryError if the pool has too few bytes.
        """
        self.check_size(size)
        wanted = max(0, size - SMALL_ANSWER_BYTES)
        self.pool.reserve(wanted - self.reserved_bytes)
        self.reserved_bytes = wanted

    def close(self) -> None:
        """Release all memory to the pool."""
        self.resize(0)
