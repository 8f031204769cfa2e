"""Change files so that a loss of power leaves the old or the new one."""

import os
from pathlib import Path


def replace_durably(path: Path, text: str) -> None:
    """Replace the file by one whose content is durable before its name is."""
    draft = path.with_suffix('.new')
    with draft.open('w', encoding='ascii') as written:
        written.write(text)
        written.flush()
        # The name must never show what a loss of power empties.
        os.fsync(written.fileno())
    draft.replace(path)


def sync_folder(folder: Path) -> None:
    """Make created and removed names durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    except OSError:
        os.close(descriptor)
        raise
    os.close(descriptor)
