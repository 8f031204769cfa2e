"""Run a role: python -m jasminewheel.platform entry, or history."""

import sys
from importlib import import_module

from jasminewheel.platform.roles import run_role

_ROLES = ('entry', 'history')
_EXIT_USAGE = 2


def main() -> None:
    """Import only what the role needs, and run it."""
    role = sys.argv[-1]
    if role not in _ROLES:
        sys.stderr.write('usage: python -m jasminewheel.platform ROLE\n')
        sys.exit(_EXIT_USAGE)
    module = import_module(f'jasminewheel.platform.{role}')
    run_role(getattr(module, f'serve_{role}'))


if __name__ == '__main__':
    main()
