"""Strike the processes of a fleet."""

import threading

from process_fleet import poll

SUSPICION_SECONDS = 20


def kill_owner(cell):
    """Kill the owner of the program."""
    cell.fleet[cell.owner].kill()


def kill_entry(cell):
    """Kill the entry that the caller is connected to."""
    cell.fleet[cell.entry].kill()


def kill_owner_without_store(cell):
    """Kill the owner while the store is down."""
    cell.fleet['store'].fault(mode='down')
    cell.fleet[cell.owner].kill()


def kill_all_entries(cell):
    """Kill all entries at once and start them again."""
    names = [name for name in cell.fleet.servers if name.startswith('entry-')]
    for name in names:
        cell.fleet[name].kill()
    for name in names:
        cell.fleet.start_entry(int(name.partition('-')[2]))


def kill_history(cell):
    """Kill one history."""
    cell.fleet['history-2'].kill()


def freeze_owner(cell):
    """Freeze the owner until another entry serves the program."""
    cell.fleet[cell.owner].freeze()
    request = cell.requests[-1]
    poll(
        lambda: not request.thread.is_alive() or len(request.answers) > 1,
        seconds=SUSPICION_SECONDS + 20,
        message='nobody took over from the frozen owner',
    )


def stop_owner(cell):
    """Ask the owner to shut down while it serves."""
    server = cell.fleet[cell.owner]
    stopped = threading.Thread(target=server.stop, daemon=True)
    stopped.start()


def heal(fleet):
    """Start what is dead and wait until all serve again."""
    fleet['store'].fault(mode='ok')
    for name in list(fleet.servers):
        fleet[name].thaw()
        kind, _, number = name.partition('-')
        if fleet[name].popen.poll() is None:
            continue
        if kind == 'entry':
            fleet.start_entry(int(number))
        elif kind == 'history':
            fleet.start_history(int(number))
    fleet.wait_ready()
