"""Change files so that a power loss leaves the old or the new version."""

import os
from pathlib import Path


def replace_durably(path: Path, text: str) -> None:
    """Replace the file; the content is durable before the new name is."""
    draft = path.with_suffix('.new')
    with draft.open('w', encoding='ascii') as written:
        written.write(text)
        written.flush()
        # Otherwise a power loss could leave the name with an empty file.
        os.fsync(written.fileno())
    draft.replace(path)


def sync_folder(folder: Path) -> None:
    """Make created and removed files in the folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    except OSError:
        os.close(descriptor)
        raise
    os.close(descriptor)
