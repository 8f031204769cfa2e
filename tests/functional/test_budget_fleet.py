"""Check budgets end to end against the counters of the engines."""

import time
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType

import httpx
import pytest
from attrs import define, field
from callers import CallerClient, ask
from process_fleet import running_fleet

from jasminewheel.models.caller import Budget

BUDGET = Budget(tokens=6000, window_seconds=86400)
MAX_TOKENS = 50
REFUSALS = 20
# A loop without a pause would slow down the threads of the spenders.
POLL_SECONDS = 0.002
# An open breaker would keep calls away from the runners whose attempts count.
BREAKERS_SHUT = MappingProxyType({'breaker_failures': 1_000_000})
# The maximum that one call reserves: its prompt and its answer.
CALL_TOKENS = 60


@pytest.fixture
def fleet(tmp_path):
    """Run three entries with a small budget for each caller."""
    with running_fleet(
        tmp_path,
        entries=3,
        caller_fields={'budget': BUDGET},
        policy_fields=BREAKERS_SHUT,
    ) as running:
        yield running


@define
class Spender:
    """Make plain calls one after the other until the budget is exhausted."""

    entries: list
    name: str
    calls: int = 0
    refusals: list = field(factory=list)

    def run(self):
        """Spend until the number of refusals implies one at each entry."""
        while len(self.refusals) < REFUSALS:
            self.call()

    def call(self):
        """Make one call; after a transport error, use the next entry."""
        self.calls += 1
        client = CallerClient(self.entries[0].url)
        body = ask(f'{self.name} {self.calls}', MAX_TOKENS)
        try:
            answer = client.request(
                'POST', '/v1/calls', f'{self.name}-{self.calls}', body
            )
        except httpx.TransportError:
            self.entries.pop(0)
            return
        if answer.status_code == httpx.codes.PAYMENT_REQUIRED:
            self.refusals.append(answer.json())


def spend(fleet, meanwhile):
    """Spend at all entries concurrently until the budget is exhausted."""
    entries = fleet.named('entry-')
    spenders = [
        Spender(entries[start:] + entries[:start], f'spender-{start}')
        for start in range(len(entries))
    ]
    with ThreadPoolExecutor() as pool:
        running = [pool.submit(spender.run) for spender in spenders]
        meanwhile(spenders)
        for each in running:
            each.result()
    return spenders


def used_tokens(fleet):
    """Return the tokens that the engines used."""
    counts = [
        engine.get('/control/counts') for engine in fleet.named('engine-')
    ]
    return sum(
        each.get('prompt_tokens', 0) + each.get('completion_tokens', 0)
        for each in counts
    )


def test_budget_without_store(fleet):
    """The budget is spent in full and not exceeded without the store."""
    fleet['store'].set_fault(mode='down')
    spenders = spend(fleet, lambda _: None)
    for spender in spenders:
        assert spender.refusals[0]['verdict'] == 'not-run'
        assert spender.refusals[0]['code'] == 'budget-exhausted'
        assert spender.refusals[0]['retry_after_seconds'] > 0
    used = used_tokens(fleet)
    assert used <= BUDGET.tokens
    assert used > BUDGET.tokens - len(spenders) * CALL_TOKENS


def test_budget_over_broken_streams(fleet):
    """Interrupted and retried attempts stay within the budget."""
    fleet['engine-0'].set_fault(mode='cut_streams', after_tokens=9)
    fleet['engine-1'].set_fault(mode='cut_streams', after_tokens=30)
    spend(fleet, lambda _: None)
    assert used_tokens(fleet) <= BUDGET.tokens


@pytest.mark.parametrize('victim', [0, 1, 2])
def test_budget_over_death(fleet, victim):
    """The budget is not exceeded when an entry, such as the owner, dies."""

    def kill(spenders):
        while sum(spender.calls for spender in spenders) < 20:
            assert not any(spender.refusals for spender in spenders)
            time.sleep(POLL_SECONDS)
        fleet[f'entry-{victim}'].kill()

    spend(fleet, kill)
    used = used_tokens(fleet)
    assert used <= BUDGET.tokens
    # The killed entry's grants count as spent: at most a quarter.
    assert used > BUDGET.tokens - BUDGET.tokens // 4 - 3 * CALL_TOKENS
