"""Check what a process concludes from the replies of readers."""

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.followed_store import (
    FOLLOW_SECONDS,
    FollowedStore,
)
from jasminewheel._internal.store.mirror import MirrorListener, StoreMirror
from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.store.reader_choice import (
    AWAY_SECONDS,
    FAILED_SECONDS,
    Reader,
    ReaderChoice,
)
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import PeerError, StoreUnavailableError

READERS = ('a', 'b', 'c')
HEARTBEAT_SECONDS = 1.2


@define(eq=False)
class ScriptedPool:
    """Reply as scripted for each address; others do not answer."""

    replies: dict[str, wire.KnownChanges] = field(factory=dict)
    reply_seconds: float = 0
    asked: list[tuple[str, float]] = field(factory=list)

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Record the question and return the reply."""
        self.asked.append((address, message.wait_seconds))
        await trio.sleep(self.reply_seconds)
        if address not in self.replies:
            raise PeerError(f'{address} did not answer')
        return self.replies[address]


@define(eq=False)
class Judgements(MirrorListener):
    """Record at each change whether missing keys were removed."""

    contact: StoreContact
    settled: list[bool] = field(factory=list)

    def items_changed(self, items, keys) -> None:
        """Record the present judgement."""
        self.settled.append(self.contact.is_settled(trio.current_time()))


def _reply(**fields) -> wire.KnownChanges:
    standard = {
        'written': [],
        'removed': [],
        'revision': 7,
        'settled': True,
        'reads': True,
        'complete': False,
        'confirms': True,
        'silent': False,
    }
    return wire.KnownChanges(**{**standard, **fields})


def _following(pool: ScriptedPool) -> FollowedStore:
    zones = {'a': 0, 'b': 1, 'c': 2}
    choice = ReaderChoice(
        'own', zones.__getitem__, lambda: [Reader(one, one) for one in READERS]
    )
    contact = StoreContact(HEARTBEAT_SECONDS)
    contact.record_read(7, 0)
    return FollowedStore(None, pool, choice, contact)


def _run(scenario) -> None:
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ('settled', 'confirms', 'missed_seconds', 'concluded'),
    [
        (True, True, 0.1, True),
        (True, True, 9, True),
        (True, False, 0.1, None),
        (True, False, 9, False),
        (False, False, 0.1, False),
        (False, True, 9, False),
    ],
)
def test_what_a_reader_says_of_missing_keys(
    settled, confirms, missed_seconds, concluded
):
    """A new reader cannot judge for one that may have missed an outage."""
    store = _following(ScriptedPool())
    store.pool.replies['a'] = _reply(settled=settled, confirms=confirms)

    async def scenario() -> None:
        await trio.sleep_until(trio.current_time() + missed_seconds)
        store.contact.first_read_at = 0
        store.contact.reported_at = trio.current_time() - missed_seconds
        changes = await store.changes(7, FOLLOW_SECONDS)
        assert changes.settled is concluded

    _run(scenario)


@pytest.mark.parametrize('settled', [None, True, False])
def test_word_of_a_reader_decides_before_its_changes(settled):
    """A key that is missing is judged by the reply that tells of it."""
    pool = ScriptedPool()
    store = _following(pool)
    mirror = StoreMirror(store, contact=store.contact)
    mirror.apply_snapshot([StoreItem('servers/x', b'', 3)], 7)
    listener = Judgements(store.contact)
    mirror.listeners.append(listener)
    pool.replies['a'] = _reply(
        removed=['servers/x'],
        revision=8,
        settled=settled is not False,
        confirms=settled is True,
    )

    async def scenario() -> None:
        store.contact.reported_at = trio.current_time()
        await mirror.watch_once()

    _run(scenario)
    assert listener.settled == [settled is not False]


def test_age_of_a_list_counts_from_the_read_of_the_store():
    """A reader may have waited for the store while it replied."""
    store = _following(ScriptedPool())
    store.pool.replies['a'] = _reply(age_seconds=2)
    mirror = StoreMirror(store, contact=store.contact, revision=7)

    async def scenario() -> None:
        await trio.sleep_until(5)
        await mirror.watch_once()
        assert store.contact.report_age(5) == 0
        assert store.contact.read_age(5) == 2

    _run(scenario)


def test_reader_that_knows_less_is_not_followed():
    """Its reply would hide what is known here for as long as it lags."""
    store = _following(ScriptedPool())
    store.pool.replies['a'] = _reply(revision=6)
    store.pool.replies['b'] = _reply(revision=8)

    async def scenario() -> None:
        changes = await store.changes(7, FOLLOW_SECONDS)
        assert changes.revision == 8
        assert store.followed == 'b'

    _run(scenario)


def test_second_reader_replies_at_once():
    """News may have been missed while the first one did not answer."""
    store = _following(ScriptedPool())
    store.pool.replies['b'] = _reply()

    async def scenario() -> None:
        await store.changes(7, FOLLOW_SECONDS)
        assert store.pool.asked == [('a', FOLLOW_SECONDS), ('b', 0)]

    _run(scenario)


@pytest.mark.parametrize(
    ('reply', 'reply_seconds', 'passed_over_seconds'),
    [
        (None, 0.6, FAILED_SECONDS),
        (None, 0.1, AWAY_SECONDS),
        (_reply(reads=False), 0.4, AWAY_SECONDS),
    ],
)
def test_failed_reader_is_passed_over_for_a_while(
    reply, reply_seconds, passed_over_seconds
):
    """One that failed at once is asked again soon, if it is the nearest.

    So is one that says that it lost the store, however long it was waited for.
    """
    store = _following(ScriptedPool())
    store.pool.replies['b'] = _reply()
    store.pool.reply_seconds = reply_seconds
    if reply:
        store.pool.replies['a'] = reply

    async def scenario() -> None:
        await store.changes(7, 0)
        store.pool.asked.clear()
        await trio.sleep(passed_over_seconds - 1.1 * reply_seconds)
        await store.changes(7, 0)
        assert store.pool.asked == [('b', 0)]
        await trio.sleep(3 * reply_seconds)
        await store.changes(7, 0)
        assert store.pool.asked[1] == ('a', 0)

    _run(scenario)


@pytest.mark.parametrize('silent', [False, True])
def test_start_of_an_outage_is_known_if_the_readers_know_it(silent):
    """Keys cannot have lapsed in a short outage whose start is known."""
    store = _following(ScriptedPool())
    for address in READERS:
        store.pool.replies[address] = _reply(reads=False, silent=silent)

    async def scenario() -> None:
        store.contact.reported_at = trio.current_time()
        with pytest.raises(StoreUnavailableError) as caught:
            await store.changes(7, 0)
        assert caught.value.no_response is silent

    _run(scenario)


def test_all_values_after_a_loss_are_no_older_ones():
    """A reader that lies behind is not believed, though all is asked for."""
    held = [wire.KnownItem(key='a', value=b'1', revision=5)]
    behind = _reply(written=held, revision=6, complete=True)
    newer = _reply(written=held, revision=8, complete=True)
    store = _following(ScriptedPool({'a': behind, 'b': newer}))

    async def scenario() -> None:
        snapshot = await store.snapshot()
        assert snapshot.revision == 8

    _run(scenario)
