"""Check who yields when clients hold more than a process may use."""

from attrs import define, field

from jasminewheel._internal.web.client_memory import (
    CONNECTION_BYTES,
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALLED_SECONDS,
    ClientAccount,
    ClientLimits,
    ClientMemory,
    memory_for,
)

MEMORY_BYTES = 1048576
LARGE = 8 * SMALL_BYTES
LATER = 2 * STALLED_SECONDS


@define(eq=False)
class Client:
    """Imitate a connection."""

    account: ClientAccount = field(init=False)
    is_answering: bool = False
    yielded: bool = False

    def __attrs_post_init__(self):
        """Open the account at time zero."""
        self.account = ClientAccount(
            lambda: not self.is_answering, self.yield_room, 0
        )

    def yield_room(self):
        """Record that the client had to yield."""
        self.yielded = True


def _memory(*clients: Client, connections: int = 100) -> ClientMemory:
    memory = ClientMemory(ClientLimits(MEMORY_BYTES, connections))
    for client in clients:
        assert memory.open(client.account, 0)
    return memory


def test_stalled_body_yields_to_a_newer_one():
    """Bodies that stop short of their end make room for one that goes on."""
    stopped, newer = Client(), Client()
    memory = _memory(stopped, newer)
    assert memory.resize(stopped.account, LARGE, 0)
    newer.account.receive(PROGRESS_BYTES, LATER)
    assert memory.resize(newer.account, LARGE, LATER)
    assert stopped.yielded
    assert memory.used_bytes == LARGE


def test_body_in_progress_does_not_yield():
    """The younger of two bodies in progress is refused, as it is not begun."""
    first, second = Client(), Client()
    memory = _memory(first, second)
    assert memory.resize(first.account, LARGE, 0)
    first.account.receive(PROGRESS_BYTES, LATER)
    assert not memory.resize(second.account, LARGE, LATER)
    assert not first.yielded
    assert second.account.held_bytes == 0


def test_drip_is_no_progress():
    """A client that sends a byte at a time counts as stalled."""
    dripping, newer = Client(), Client()
    memory = _memory(dripping, newer)
    assert memory.resize(dripping.account, LARGE, 0)
    dripping.account.receive(1, LATER)
    assert memory.resize(newer.account, LARGE, LATER)
    assert dripping.yielded


def test_request_being_answered_does_not_yield():
    """A request that may have run keeps its memory."""
    answered, newer = Client(is_answering=True), Client()
    memory = _memory(answered, newer)
    assert memory.resize(answered.account, LARGE, 0)
    assert not memory.resize(newer.account, LARGE, LATER)
    assert not answered.yielded


def test_small_requests_find_room_beside_large_ones():
    """Large requests leave a part of the memory to ordinary ones."""
    large = [Client() for _ in range(4)]
    memory = _memory(*large)
    held = [memory.resize(one.account, LARGE, 0) for one in large]
    assert held == [True, False, False, False]
    small = Client()
    assert memory.open(small.account, 0)
    assert memory.resize(small.account, SMALL_BYTES, 0)


def test_small_request_does_not_yield_to_a_large_one():
    """Many idle connections stay open while a large request is refused."""
    idle = [Client() for _ in range(40)]
    memory = _memory(*idle)
    large = Client()
    assert memory.open(large.account, LATER)
    assert not memory.resize(large.account, LARGE, LATER)
    assert not any(one.yielded for one in idle)


def test_stalest_connection_yields_to_a_new_one():
    """At the limit of connections the one without progress for longest goes."""
    old, newer, newest = Client(), Client(), Client()
    memory = _memory(old, newer, connections=2)
    newer.account.record_progress(1)
    assert memory.open(newest.account, LATER)
    assert (old.yielded, newer.yielded) == (True, False)


def test_new_connection_is_refused_beside_busy_ones():
    """At the limit of connections those being answered stay open."""
    memory = _memory(Client(is_answering=True), connections=1)
    assert not memory.open(Client().account, LATER)
    assert memory.refused == 1


def test_used_bytes_match_what_clients_hold():
    """What is closed or shrinks is free again."""
    clients = [Client() for _ in range(3)]
    memory = _memory(*clients)
    memory.resize(clients[0].account, LARGE, 0)
    memory.resize(clients[0].account, CONNECTION_BYTES, 0)
    memory.close(clients[1].account)
    assert memory.used_bytes == 2 * CONNECTION_BYTES


def test_limits_leave_descriptors_for_runners():
    """Clients get a part of the descriptors that are not kept for files."""
    limits = memory_for(MEMORY_BYTES, 300).limits
    assert limits == ClientLimits(MEMORY_BYTES // 4, 75)
