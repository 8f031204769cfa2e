"""Strike the processes of a fleet."""

import signal

from processes import STOP_SECONDS
from server_group import poll

TAKEOVER_SECONDS = 45
LINK_DELAY_SECONDS = 0.05
STORE_DELAY_SECONDS = 1.0
# The binaries that are started again when they ended.
MEMBERS = frozenset(('entry', 'history'))


def kill_owner(cell):
    """Kill the owner of the program."""
    cell.fleet[cell.owner].kill()


def kill_entry(cell):
    """Kill the entry that the caller is connected to."""
    cell.fleet[cell.entry].kill()


def kill_owner_without_store(cell):
    """Kill the owner while the store is down."""
    cell.fleet['store'].set_fault(mode='down')
    cell.fleet[cell.owner].kill()


def kill_all_entries(cell):
    """Kill all entries at once and start them again."""
    names = [name for name in cell.fleet.servers if name.startswith('entry-')]
    for name in names:
        cell.fleet[name].kill()
    cell.fleet.start_members(names)


def kill_history(cell):
    """Kill one history."""
    cell.fleet['history-2'].kill()


def freeze_owner(cell):
    """Freeze the owner."""
    cell.fleet[cell.owner].freeze()


def thaw_after_takeover(cell):
    """Let the old owner go on when another entry has served the request."""
    wait_for_takeover(cell)
    cell.fleet[cell.owner].thaw()


def wait_for_takeover(cell):
    """Wait until another entry has served the request."""
    request = cell.requests[-1]
    poll(
        lambda: not request.thread.is_alive(),
        seconds=TAKEOVER_SECONDS,
        message='nobody took over from the lost owner',
    )


def stop_owner(cell):
    """Ask the owner to shut down while it serves."""
    cell.fleet[cell.owner].popen.send_signal(signal.SIGTERM)


def wait_for_exit(cell):
    """Check that the owner ended by itself and without an error."""
    assert cell.fleet[cell.owner].popen.wait(STOP_SECONDS) == 0


def cut_owner(cell):
    """Let nothing through between the owner and the other members."""
    for name in other_members(cell):
        cell.fleet.relays.links.cut(cell.owner, name)


def cut_owner_outbound(cell):
    """Let nothing through from the owner, but all of it to the owner."""
    for name in other_members(cell):
        cell.fleet.relays.links.cut(cell.owner, name, both=False)


def other_members(cell):
    """Return the names of all members but the owner."""
    relayed = cell.fleet.relays.relays
    return [name for name in relayed if name != cell.owner]


def heal_after_takeover(cell):
    """Deliver what was held back when another entry has served the request."""
    wait_for_takeover(cell)
    cell.fleet.relays.heal()


def slow_links(cell):
    """Delay all that members send to each other."""
    cell.fleet.relays.links.slow(LINK_DELAY_SECONDS)


def slow_store(cell):
    """Let the store answer late."""
    cell.fleet['store'].set_fault(
        mode='slow', delay_seconds=STORE_DELAY_SECONDS
    )


def lose_store_answers(cell):
    """Let the store take effect without an answer."""
    cell.fleet['store'].set_fault(mode='lose_answers', probability=1)


def no_follow_up(cell):
    """Add nothing to the fault."""


def heal(fleet):
    """Start what is dead and wait until all serve again."""
    fleet['store'].set_fault(mode='ok')
    fleet.relays.heal()
    for server in fleet.servers.values():
        server.thaw()
    fleet.start_members(stopped_members(fleet))
    fleet.wait_ready()


def stopped_members(fleet):
    """Return the names of the histories and entries that ended."""
    return [
        name
        for name, server in fleet.servers.items()
        if server.module in MEMBERS and server.popen.poll() is not None
    ]
