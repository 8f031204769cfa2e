"""Check by a model that grants never exceed a budget under faults."""

from collections import defaultdict

import pytest
import trio
from attrs import define
from hypothesis import Phase, settings
from hypothesis import seed as hypothesis_seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from memory_slots import MemoryLogs, MemorySlots

from jasminewheel._internal.budget.account import Account, BudgetLimit
from jasminewheel._internal.budget.journal import (
    SNAPSHOT_KIND,
    AccountJournal,
    account_log_id,
)
from jasminewheel._internal.budget.service import BudgetService
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.budget.ttypes import (
    AccountSnapshot,
    ReturnGrant,
    TakeGrant,
)
from jasminewheel.errors import FencedError, QuorumError

OWNERS = st.integers(0, 1)
FAULTS = st.lists(
    st.sampled_from(['ok', 'lost', 'minority', 'down']), max_size=3
)
LIMITS = st.builds(
    BudgetLimit,
    st.sampled_from([50, 100]),
    st.sampled_from([10.0, 30.0]),
)


@define
class Holding:
    """Represent what a holder knows of one grant in one window."""

    amount: int
    unspent: int = 0
    is_returned: bool = False


@define
class Owner:
    """Run the service with a clock of its own."""

    slots: MemorySlots
    service: BudgetService
    now: float = 1000.0


class BudgetMachine(RuleBasedStateMachine):
    """Take and return grants at two owners that replace each other."""

    @initialize(limit=LIMITS)
    def start(self, limit):
        """Start two owners on the same replicas."""
        self.logs = MemoryLogs()
        self.limit = limit
        self.highest = defaultdict(int)
        self.holdings = {}
        self.requests = []
        self.owners = [self.make_owner(), self.make_owner()]

    def make_owner(self):
        """Return an owner with its own clock."""
        slots = MemorySlots(self.logs)
        owner = Owner(slots, None)
        owner.service = BudgetService(
            slots,
            lambda _: self.limit,
            clock=lambda: owner.now,
        )
        return owner

    def run(self, owner, ask, message, faults):
        """Send an owner a request under faults; return the answer or None."""
        self.logs.faults = list(faults)
        try:
            return trio.run(ask, message)
        except (QuorumError, FencedError):
            return None
        finally:
            self.logs.faults = []

    @rule(
        owner=OWNERS,
        minimum=st.integers(0, 60),
        extra=st.integers(0, 100),
        faults=FAULTS,
    )
    def take(self, owner, minimum, extra, faults):
        """Request a new grant."""
        request = TakeGrant(
            caller='yard',
            grant=f'grant-{len(self.requests)}',
            holder='entry',
            minimum=minimum,
            wanted=minimum + extra,
        )
        self.requests.append(request)
        self.ask_for(owner, request, faults)

    @rule(owner=OWNERS, choice=st.integers(0, 99), faults=FAULTS)
    def take_again(self, owner, choice, faults):
        """Repeat the request for a grant that was not returned."""
        returned = {
            grant for grant, _ in self.holdings if self.is_returned(grant)
        }
        open_requests = [
            request
            for request in self.requests
            if request.grant not in returned
        ]
        if open_requests:
            request = open_requests[choice % len(open_requests)]
            self.ask_for(owner, request, faults)

    def ask_for(self, owner, request, faults):
        """Request a grant and record what the holder may spend."""
        service = self.owners[owner].service
        answer = self.run(owner, service.take, request, faults)
        if answer is None or not answer.amount:
            return
        key = (request.grant, answer.window_start_ms)
        known = self.holdings.setdefault(key, Holding(answer.amount))
        assert known.amount == answer.amount, 'one grant, two amounts'

    def is_returned(self, grant):
        """Return whether the holder has returned the grant."""
        return any(
            holding.is_returned
            for (name, _), holding in self.holdings.items()
            if name == grant
        )

    @rule(
        owner=OWNERS,
        choice=st.integers(0, 99),
        part=st.floats(0, 1),
        faults=FAULTS,
    )
    def give_back(self, owner, choice, part, faults):
        """Return a part of a grant, possibly repeatedly."""
        if not self.holdings:
            return
        keys = sorted(self.holdings)
        grant, window = keys[choice % len(keys)]
        holding = self.holdings[grant, window]
        if not holding.is_returned:
            holding.is_returned = True
            holding.unspent = int(holding.amount * part)
        request = ReturnGrant('yard', grant, holding.unspent)
        service = self.owners[owner].service
        self.run(owner, service.return_grant, request, faults)

    @rule(owner=OWNERS, step=st.sampled_from([-30, -10, -1, 1, 10, 30]))
    def step_clock(self, owner, step):
        """Step an owner's clock forward or back."""
        self.owners[owner].now += step

    @rule(owner=OWNERS, is_paused=st.booleans())
    def pause(self, owner, is_paused):
        """Set whether an owner fails to notice that it has lost the slot."""
        self.owners[owner].slots.is_paused = is_paused

    @rule(owner=OWNERS, adopts_uncommitted=st.booleans())
    def take_over(self, owner, adopts_uncommitted):
        """Restart an owner, which may find a record stored by a minority."""
        self.logs.adopts_uncommitted = adopts_uncommitted
        self.owners[owner] = self.make_owner()

    @rule(limit=LIMITS)
    def configure(self, limit):
        """Change the limit."""
        self.limit = limit

    def note_limit(self):
        """Record the highest limit in force while a window was the newest."""
        log = self.logs.logs.get('budget:yard')
        if log:
            newest = decode(AccountSnapshot, log[0].payload).window_start_ms
            known = self.highest[newest]
            self.highest[newest] = max(known, self.limit.tokens)

    @invariant()
    def is_within_budget(self):
        """Check the tokens that holders may spend in each window."""
        self.note_limit()
        spendable = defaultdict(int)
        for (_, window), holding in self.holdings.items():
            spendable[window] += holding.amount - holding.unspent
        for window, tokens in spendable.items():
            assert tokens <= self.highest[window]


EXAMPLES = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)


def test_budget_is_kept():
    """No order of faults grants more than the limit."""
    run_state_machine_as_test(BudgetMachine, settings=EXAMPLES)


@pytest.mark.long
def test_budget_is_kept_long(seed):
    """No order of faults grants more than the limit, by seed."""
    machine = hypothesis_seed(seed)(BudgetMachine)
    many = settings(EXAMPLES, max_examples=5000, derandomize=False)
    run_state_machine_as_test(machine, settings=many)


def follow_clock(account, now, limit):
    """Mutant: let windows go back with the clock."""
    return int(now // limit.window_seconds * limit.window_seconds * 1000)


async def forget_pending(journal):
    """Mutant: discard a record whose outcome is unknown."""
    pending = journal.pending
    if pending is None:
        return
    journal.pending = None
    append = journal.slot.append
    if pending.kind == SNAPSHOT_KIND:
        append = journal.slot.snapshot
    payload = encode(pending.message)
    await append(journal.log_id, pending.index, pending.kind, payload)
    journal.apply(pending)


def count_returns_twice(account, change):
    """Mutant: credit a returned grant on each repeated request."""
    for back in change.returned:
        account.granted -= back.unspent
    for taken in change.taken:
        account.grants[taken.grant] = taken
        account.granted += taken.amount


async def keep_journal(service, caller, account_queue):
    """Mutant: reuse a journal after the account had another owner."""
    slot = await service.slots.own(account_log_id(caller))
    if account_queue.journal is None:
        account_queue.journal = await AccountJournal.load(slot, caller)
    account_queue.journal.slot = slot
    return account_queue.journal


def ignore_limit(account, take, limit):
    """Mutant: grant the requested tokens regardless of the limit."""
    return take.wanted


MUTANTS = (
    (Account, 'window_at', follow_clock),
    (Account, 'apply', count_returns_twice),
    (Account, 'grantable_tokens', ignore_limit),
    (AccountJournal, 'commit_pending', forget_pending),
    (BudgetService, 'journal_of', keep_journal),
)


@pytest.mark.parametrize(('owner', 'name', 'mutant'), MUTANTS)
def test_mutant_is_found(owner, name, mutant, monkeypatch):
    """The model fails if any one of the rules is removed."""
    monkeypatch.setattr(owner, name, mutant)
    quick = settings(EXAMPLES, max_examples=2000, phases=[Phase.generate])
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(BudgetMachine, settings=quick)
