"""Inject faults into the processes, links and store of a fleet."""

import signal

from processes import STOP_SECONDS
from server_group import poll

TAKEOVER_SECONDS = 45
LINK_DELAY_SECONDS = 0.05
STORE_DELAY_SECONDS = 1.0
# Binaries that heal() restarts after they have stopped.
MEMBERS = frozenset(('entry', 'history'))


def kill_owner(cell):
    """Kill the entry that owns the program."""
    cell.fleet[cell.owner].kill()


def kill_entry(cell):
    """Kill the entry to which the caller is connected."""
    cell.fleet[cell.entry].kill()


def kill_owner_without_store(cell):
    """Kill the owner while the store is down."""
    cell.fleet['store'].set_fault(mode='down')
    cell.fleet[cell.owner].kill()


def kill_all_entries(cell):
    """Kill all entries at once and restart them."""
    names = [name for name in cell.fleet.servers if name.startswith('entry-')]
    for name in names:
        cell.fleet[name].kill()
    cell.fleet.start_members(names)


def kill_history(cell):
    """Kill one of the histories."""
    cell.fleet['history-2'].kill()


def freeze_owner(cell):
    """Freeze the owner with SIGSTOP."""
    cell.fleet[cell.owner].freeze()


def thaw_after_takeover(cell):
    """Resume the former owner once another entry has served the request."""
    wait_for_takeover(cell)
    cell.fleet[cell.owner].thaw()


def wait_for_takeover(cell):
    """Wait until another entry has served the request."""
    request = cell.requests[-1]
    poll(
        lambda: not request.thread.is_alive(),
        seconds=TAKEOVER_SECONDS,
        message='no entry took over from the failed owner',
    )


def stop_owner(cell):
    """Send SIGTERM to the owner while it serves."""
    cell.fleet[cell.owner].popen.send_signal(signal.SIGTERM)


def wait_for_exit(cell):
    """Wait for the owner to exit by itself; check its exit code."""
    assert cell.fleet[cell.owner].popen.wait(STOP_SECONDS) == 0


def cut_owner(cell):
    """Cut the links between the owner and the others in both directions."""
    for name in other_members(cell):
        cell.fleet.relays.links.cut(cell.owner, name)


def cut_owner_outbound(cell):
    """Cut the links from the owner to the others, in this direction only."""
    for name in other_members(cell):
        cell.fleet.relays.links.cut(cell.owner, name, both=False)


def other_members(cell):
    """Return the names of all members except the owner."""
    relayed = cell.fleet.relays.relays
    return [name for name in relayed if name != cell.owner]


def heal_after_takeover(cell):
    """Heal links after takeover, which delivers the delayed messages."""
    wait_for_takeover(cell)
    cell.fleet.relays.heal()


def slow_links(cell):
    """Delay all messages between members."""
    cell.fleet.relays.links.slow(LINK_DELAY_SECONDS)


def slow_store(cell):
    """Delay all responses of the store."""
    cell.fleet['store'].set_fault(
        mode='slow', delay_seconds=STORE_DELAY_SECONDS
    )


def lose_store_answers(cell):
    """Make the store apply requests without sending a response."""
    cell.fleet['store'].set_fault(mode='lose_answers', probability=1)


def no_follow_up(cell):
    """Take no action after the step."""


def heal(fleet):
    """Clear all faults, restart stopped members and wait until ready."""
    fleet['store'].set_fault(mode='ok')
    fleet.relays.heal()
    for server in fleet.servers.values():
        server.thaw()
    fleet.start_members(stopped_members(fleet))
    fleet.wait_ready()


def stopped_members(fleet):
    """Return the names of the histories and entries that have exited."""
    return [
        name
        for name, server in fleet.servers.items()
        if server.module in MEMBERS and server.popen.poll() is not None
    ]
