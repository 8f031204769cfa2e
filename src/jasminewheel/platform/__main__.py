"""Run a role: python -m jasminewheel.platform entry, or history."""

import sys
from importlib import import_module

from jasminewheel._internal.garbage import exempt_from_collection
from jasminewheel._internal.web.early_sockets import EarlySockets
from jasminewheel.errors import SettingsError
from jasminewheel.platform.settings import NodeSettings, load_process_settings

_ROLES = ('entry', 'history')
_EXIT_USAGE = 2


def main() -> None:
    """Open the listening sockets, then import and run the role.

    The sockets are opened first, so that clients can connect during the
    imports.
    """
    role = sys.argv[-1]
    if role not in _ROLES:
        sys.stderr.write('usage: python -m jasminewheel.platform ROLE\n')
        sys.exit(_EXIT_USAGE)
    try:
        settings = load_process_settings()
    except SettingsError as error:
        sys.stderr.write(f'error: {error}\n')
        sys.exit(_EXIT_USAGE)
    run(role, settings, EarlySockets(settings.client_addresses()))


def run(role: str, settings: NodeSettings, early: EarlySockets) -> None:
    """Import only the modules that the role needs, and run it."""
    with exempt_from_collection():
        module = import_module(f'jasminewheel.platform.{role}')
        roles = import_module('jasminewheel.platform.roles')
    roles.run_role(getattr(module, f'serve_{role}'), settings, early)


if __name__ == '__main__':
    main()
