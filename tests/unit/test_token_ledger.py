"""Check that budgets hold for any order of reservations at replicas."""

from hypothesis import given
from hypothesis import strategies as st

from jasminewheel._internal.conversation.ledger import (
    ProgramLedger,
    is_within_budget,
    needs_recheck,
)
from jasminewheel._internal.wire.gen.conversation.ttypes import (
    TokenReservation,
)

BUDGET = 100
TOKENS = 10
REPLICAS = 3
# Two stores, two reads and two decisions.
STEPS = 6


def _reservation(turn_id: str, *, settled: bool = False, tokens: int = TOKENS):
    return TokenReservation(
        turn_id=turn_id,
        program_id='p',
        tokens=tokens,
        settled=settled,
        retention_seconds=60,
    )


def test_settled_reservation_stands():
    """A late reservation does not reopen a settled one."""
    ledger = ProgramLedger()
    ledger.merge(_reservation('t', settled=True, tokens=3))
    ledger.merge(_reservation('t'))
    assert ledger.total() == 3
    ledger.merge(_reservation('u'))
    ledger.merge(_reservation('u', settled=True, tokens=0))
    assert ledger.total() == 3


class Racer:
    """Reserve at two replicas, and re-read two if a recheck is needed."""

    def __init__(self, name: str, stores, rereads) -> None:
        """Store the order in which replicas are visited."""
        self.name = name
        self.stores = list(stores)
        self.rereads = list(rereads)
        self.seen = ProgramLedger()
        self.rechecked = ProgramLedger()
        self.granted = False

    def step(self, replicas: list[ProgramLedger]) -> None:
        """Run the next step; the last one decides."""
        if self.granted:
            return
        if self.stores:
            replica = replicas[self.stores.pop()]
            replica.merge(_reservation(self.name))
            self.seen.merge_all(replica.reservations.values())
            return
        if needs_recheck(self.seen, BUDGET):
            self.recheck(replicas)
        else:
            self.granted = True

    def recheck(self, replicas: list[ProgramLedger]) -> None:
        """Read the next replica, or decide after the last one."""
        if self.rereads:
            replica = replicas[self.rereads.pop()]
            self.rechecked.merge_all(replica.reservations.values())
        else:
            self.granted = is_within_budget(self.rechecked, BUDGET)


@given(st.data())
def test_concurrent_reservations_stay_within_the_budget(data):
    """Granted reservations stay within the budget in any interleaving."""
    count = data.draw(st.integers(8, 16))
    orders = st.permutations(range(REPLICAS))
    racers = [
        Racer(f't{turn}', data.draw(orders)[:2], data.draw(orders)[:2])
        for turn in range(count)
    ]
    replicas = [ProgramLedger() for _ in range(REPLICAS)]
    steps = [racer for racer in racers for _ in range(STEPS)]
    for chosen in data.draw(st.permutations(steps)):
        chosen.step(replicas)
    granted = sum(one.granted for one in racers)
    assert granted * TOKENS <= BUDGET
