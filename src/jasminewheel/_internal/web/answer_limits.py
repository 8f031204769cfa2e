"""Bound what is read and held of answers; servers may send without end."""

from attrs import define, field, frozen
from attrs.validators import ge

from jasminewheel.errors import AnswerTooLongError, ConnectionLostError

# The fields of a usual head take less than 1 KiB.
HEAD_BYTES = 65536
# All that comes before an answer: interim answers and other requests' ones.
UNMATCHED_BYTES = 1048576
# What frames a body (chunk sizes, trailers) may take between two parts of it,
# and in all beyond the bytes of the body.
FRAMING_BYTES = 65536
# One answer from its head to its end, with what frames it: 8 MiB.
ANSWER_BYTES = 8388608
# What may be held of one answer: 4 MiB, as much as of a request.
ANSWER_MEMORY_BYTES = 4194304
# An answer up to this size, as nearly all are, takes no shared room.
SMALL_ANSWER_BYTES = 16384
# What larger answers may hold together: 8 MiB of a small VM's memory.
MEMORY_POOL_BYTES = 8388608
# One event of a stream; usual ones take some hundred bytes.
EVENT_BYTES = 1048576
# Events of a stream for which the caller states no most tokens.
MAX_STREAM_EVENTS = 65536
# The rest of an answer that nobody wants, read to keep its connection.
DISCARD_BYTES = 65536
DISCARD_SECONDS = 0.1


@frozen
class AnswerLimits:
    """Bound what one connection reads for one request."""

    head_bytes: int = field(default=HEAD_BYTES, validator=ge(1))
    unmatched_bytes: int = field(default=UNMATCHED_BYTES, validator=ge(1))
    framing_bytes: int = field(default=FRAMING_BYTES, validator=ge(1))
    answer_bytes: int = field(default=ANSWER_BYTES, validator=ge(1))


@define(eq=False)
class AnswerMemoryPool:
    """Share memory among the large answers of a process."""

    free_bytes: int = field(default=MEMORY_POOL_BYTES, validator=ge(0))

    def reserve(self, count: int) -> None:
        """Take bytes, or give some back; raise if they are not free."""
        if count > self.free_bytes:
            raise ConnectionLostError(
                'other large answers leave no room for this one'
            )
        self.free_bytes -= count


@define(eq=False)
class AnswerMemory:
    """Count what is held of one answer."""

    pool: AnswerMemoryPool = field(factory=AnswerMemoryPool)
    max_bytes: int = field(default=ANSWER_MEMORY_BYTES, validator=ge(1))
    reserved_bytes: int = 0

    def check_size(self, size: int) -> None:
        """Raise AnswerTooLongError for a size that is never held."""
        if size > self.max_bytes:
            raise AnswerTooLongError(
                f'an answer has over {self.max_bytes} bytes to hold'
            )

    def resize(self, size: int) -> None:
        """Hold this many bytes; raise ConnectionLostError if too many."""
        self.check_size(size)
        wanted = max(0, size - SMALL_ANSWER_BYTES)
        self.pool.reserve(wanted - self.reserved_bytes)
        self.reserved_bytes = wanted

    def close(self) -> None:
        """Hold nothing any more."""
        self.resize(0)
