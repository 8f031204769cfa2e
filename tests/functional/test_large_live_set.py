"""Check the write cost of a disk with a large set of live records."""

import trio

from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.log_file import LogFile
from jasminewheel._internal.conversation.records import StoredTurn
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.wire.gen.conversation.ttypes import TurnRecord

MIB = 1 << 20
LIVE_BYTES = 40 * MIB
PROMPT = bytes(65536)
RECORDS = LIVE_BYTES // len(PROMPT)
SMALL_WRITES = 20


def _record(number: int, prompt: bytes) -> TurnRecord:
    return TurnRecord(
        turn_id=f't{number}',
        previous_id='',
        program_id=f'p{number}',
        prompt=prompt,
        output=b'said\n',
        runner='r1',
        tokens=10,
        retention_seconds=60,
        ancestors=[],
    )


async def _store(journal: Journal, record: TurnRecord) -> None:
    await journal.store(StoredTurn(record))


async def _store_small(journal: Journal) -> None:
    left = SMALL_WRITES
    while left:
        await _store(journal, _record(-left, b'ask'))
        left -= 1


async def _fill(journal: Journal) -> None:
    records = [_record(number, PROMPT) for number in range(RECORDS)]
    await journal.store(*map(StoredTurn, records))


def test_small_writes_do_not_rewrite_a_large_live_set(tmp_path, monkeypatch):
    """Small writes do not cause live records to be rewritten."""
    written: list[int] = []
    append = LogFile.append

    def counted(log_file: LogFile, block: bytes) -> None:
        written.append(len(block))
        append(log_file, block)

    async def scenario() -> None:
        journal = Journal(tmp_path, ConversationState())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            await _fill(journal)
            monkeypatch.setattr(LogFile, 'append', counted)
            await _store_small(journal)
            nursery.cancel_scope.cancel()

    trio.run(scenario)
    assert sum(written) < MIB


def test_first_write_after_a_start_does_not_rewrite_the_log(
    tmp_path, monkeypatch
):
    """A restarted disk accepts writes without rewriting its log."""
    written: list[int] = []
    append = LogFile.append

    def counted(log_file: LogFile, block: bytes) -> None:
        written.append(len(block))
        append(log_file, block)

    async def fill() -> None:
        journal = Journal(tmp_path, ConversationState())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            await _fill(journal)
            nursery.cancel_scope.cancel()

    async def restart() -> None:
        journal = Journal(tmp_path, ConversationState())
        journal.load(trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            await _store(journal, _record(-1, b'ask'))
            nursery.cancel_scope.cancel()
        assert len(journal.state.turns) == RECORDS + 1

    trio.run(fill)
    monkeypatch.setattr(LogFile, 'append', counted)
    trio.run(restart)
    assert sum(written) < MIB
