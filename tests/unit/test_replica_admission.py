"""Check under which replica sets one disk accepts writes."""

import trio
from trio.testing import wait_all_tasks_blocked

from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.service import ReplicaService
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from tests.turn_replicas import turn


def _commit(revision: int) -> wire.CommitTurn:
    scope = wire.ReplicaScope(replica='d0', set_revision=revision)
    return wire.CommitTurn(scope=scope, turn=turn(f't{revision}'))


def test_write_is_refused_if_its_set_ages_while_it_waits(tmp_path):
    """A write is rejected if a newer revision arrives before it is stored.

    A joining replica that copies under the newer set would miss it.
    """

    async def scenario() -> None:
        journal = Journal(tmp_path, ConversationState())
        service = ReplicaService('d0', journal)
        answers: dict[int, wire.Stored] = {}

        async def commit(revision: int) -> None:
            answers[revision] = await service.commit(None, _commit(revision))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(commit, 5)
            await wait_all_tasks_blocked()
            nursery.start_soon(commit, 6)
            await wait_all_tasks_blocked()
            nursery.start_soon(journal.run)
            with trio.fail_after(5):
                while len(answers) < 2:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert answers[6].accepted
        assert not answers[5].accepted
        assert 't5' not in journal.state.turns

    trio.run(scenario)


def test_turn_that_comes_again_is_not_written_again(tmp_path):
    """Retries and relayed duplicates of a commit use no disk space."""

    async def scenario() -> None:
        journal = Journal(tmp_path, ConversationState())
        service = ReplicaService('d0', journal)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            assert (await service.commit(None, _commit(5))).accepted
            before = journal.log.stored_bytes
            assert (await service.commit(None, _commit(5))).accepted
            assert journal.log.stored_bytes == before
            nursery.cancel_scope.cancel()

    trio.run(scenario)
