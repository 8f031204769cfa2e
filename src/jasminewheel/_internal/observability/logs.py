"""Set up logging for a process."""

import logging
import sys


def start_logging(member: str, level: str = 'INFO') -> None:
    """Send log lines with the member's name to standard error."""
    logging.basicConfig(
        stream=sys.stderr,
        level=level,
        format=f'%(asctime)s %(levelname)s {member} %(name)s %(message)s',
        force=True,
    )
    # Client libraries log each request, which hides the events.
    for name in ('httpx', 'httpcore', 'hypercorn.access'):
        logging.getLogger(name).setLevel(logging.WARNING)
