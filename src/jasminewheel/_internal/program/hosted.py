"""Represent a program in the memory of its owner, with its log."""

from collections.abc import Callable
from typing import TypeAlias

import trio
from attrs import define, field

from jasminewheel._internal.program.admission import check_digest
from jasminewheel._internal.program.answer import Answer
from jasminewheel._internal.program.order import check_order
from jasminewheel._internal.program.ports import SlotLog
from jasminewheel._internal.program.program import Program
from jasminewheel._internal.program.records import (
    Record,
    decode_record,
    encode_record,
    kind_of,
)
from jasminewheel._internal.targets.prefix import PrefixBlock, chain
from jasminewheel.errors import (
    ConflictError,
    FencedError,
    MovedError,
    OverloadedError,
    QuorumError,
)
from jasminewheel.models.call import CallRequest
from jasminewheel.models.verdict import Verdict

Decide: TypeAlias = Callable[[Program], Record | None]
# No log has this name, so reading it checks the fence and copies no records.
CONFIRMATION_LOG = 'none'
MAX_QUEUED_CALLS = 64
APPEND_TIMEOUT_SECONDS = 20.0
_MIN_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 1.0


@define(eq=False)
class OwnershipStatus:
    """Record whether the ownership of a slot is lost, for its programs."""

    is_lost: bool = False


@define(eq=False)
class HostedProgram:
    """Append the program's records and track its queued and running calls."""

    program: Program
    log: SlotLog
    ownership_status: OwnershipStatus
    used_at: float
    answers: dict[str, Answer] = field(factory=dict)
    writing: trio.Lock = field(factory=trio.Lock)
    last_call_ended: trio.Event | None = None
    blocks: list[PrefixBlock] = field(factory=list)
    is_ending: bool = False

    @classmethod
    async def load(
        cls,
        log: SlotLog,
        ownership_status: OwnershipStatus,
        program_id: str,
        now: float,
    ) -> 'HostedProgram':
        """Return the program replayed from its log."""
        stored = await log.read(program_id)
        program = Program.replay(program_id, map(decode_record, stored))
        return cls(program, log, ownership_status, now)

    @property
    def is_idle(self) -> bool:
        """Return whether no call is queued or running and no append runs."""
        return not self.answers and not self.writing.locked()

    def prefix(self) -> list[PrefixBlock]:
        """Return the cache blocks of the conversation so far."""
        known = len(self.blocks)
        previous = self.blocks[-1].block if self.blocks else ''
        added = [
            {'role': message.role, 'content': message.content}
            for message in self.program.messages[known:]
        ]
        self.blocks.extend(chain(added, previous))
        return self.blocks

    def answer_of(self, request: CallRequest) -> Answer | None:
        """Return the answer of an earlier request, if it may have run."""
        running = self.answers.get(request.request_id)
        if running:
            check_digest(request.request_id, running.digest, request.digest)
            return running
        if self.program.recorded_call(request) is None:
            return None
        return self.recorded_answer(request.request_id)

    def recorded_answer(self, request_id: str) -> Answer | None:
        """Return the pending or recorded answer, unless it has not run."""
        running = self.answers.get(request_id)
        if running:
            return running
        call = self.program.calls.get(request_id)
        if call is None or call.may_start_again:
            return None
        return Answer.from_outcome(call.digest, call.outcome)

    def enqueue(self, request_id: str, answer: Answer) -> 'QueuedCall':
        """Add a call to the end of the program's queue."""
        if self.is_ending:
            raise ConflictError(
                'the program is being ended', remedy='open another program'
            )
        if len(self.answers) >= MAX_QUEUED_CALLS:
            raise OverloadedError(
                f'{MAX_QUEUED_CALLS} calls of the program are waiting',
                remedy='wait for their answers',
                retry_after_seconds=_MAX_PAUSE_SECONDS,
            )
        self.answers[request_id] = answer
        queued_call = QueuedCall(self, request_id, answer, self.last_call_ended)
        self.last_call_ended = queued_call.ended
        return queued_call

    async def confirm(self) -> None:
        """Raise MovedError or QuorumError unless the slot is still owned.

        Another entry may have run a call while this one was paused.
        """
        try:
            await self.log.read(CONFIRMATION_LOG)
        except FencedError:
            self.mark_lost()

    async def wait_until_idle(self) -> None:
        """Wait until no call is queued or running."""
        while (
            self.last_call_ended is not None
            and not self.last_call_ended.is_set()
        ):
            await self.last_call_ended.wait()

    async def append(self, record: Record) -> None:
        """Append a record at a majority; raise MovedError if that fails."""
        await self.append_decided(lambda program: record)

    async def append_decided(self, decide: Decide) -> None:
        """Append the record that `decide` returns, if any.

        Cancelling the request does not cancel the append: its outcome would
        be unknown, and this copy of the program unusable.
        """
        with trio.CancelScope(shield=True):
            async with self.writing:
                self.check_owned()
                record = decide(self.program)
                if record is None:
                    return
                check_order(self.program, record)
                await self.append_next(record)
                self.program.apply(record)

    def check_owned(self) -> None:
        """Raise MovedError once another entry may own the program."""
        if self.ownership_status.is_lost:
            raise MovedError(
                'the program has moved to another entry',
                verdict=Verdict.may_have_run,
            )

    async def append_next(self, record: Record) -> None:
        """Retry until a majority stored the record or the slot is lost."""
        pause = _MIN_PAUSE_SECONDS
        with trio.move_on_after(APPEND_TIMEOUT_SECONDS):
            while not await self.try_append(record):
                await trio.sleep(pause)
                pause = min(2 * pause, _MAX_PAUSE_SECONDS)
            return
        self.mark_lost()

    async def try_append(self, record: Record) -> bool:
        """Return whether a majority stored the record."""
        try:
            await self.log.append(
                self.program.program_id,
                self.program.length,
                kind_of(record),
                encode_record(record),
            )
        except FencedError:
            self.mark_lost()
        except QuorumError:
            return False
        return True

    def mark_lost(self) -> None:
        """Mark this copy as unusable, since the log may differ from it."""
        self.ownership_status.is_lost = True
        self.check_owned()


@define(eq=False)
class QueuedCall:
    """Represent a call in its program's queue."""

    hosted: HostedProgram
    request_id: str
    answer: Answer
    previous: trio.Event | None
    ended: trio.Event = field(factory=trio.Event)

    async def __aenter__(self) -> 'QueuedCall':
        """Return the queued call."""
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Let the next call run once all earlier calls have ended."""
        self.remove_answer()
        await self.wait()
        self.ended.set()

    async def wait(self) -> None:
        """Wait until all earlier calls have ended."""
        if self.previous is not None:
            await self.previous.wait()
        # Releases the reference to the chain of earlier calls.
        self.previous = None

    def remove_answer(self) -> None:
        """Remove the answer, so that a retry of the request starts again."""
        if self.hosted.answers.get(self.request_id) is self.answer:
            self.hosted.answers.pop(self.request_id)
