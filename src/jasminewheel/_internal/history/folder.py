"""Lock a data folder and identify its disk."""

import fcntl
import os
import secrets
from pathlib import Path

from jasminewheel._internal.history.durable_file import (
    replace_durably,
    sync_folder,
)
from jasminewheel._internal.history.segment import (
    FILE_MODE,
    segment_numbers,
)
from jasminewheel.errors import DamagedError, SettingsError

_DISK_ID_BYTES = 4


def lock_folder(folder: Path) -> int:
    """Lock the folder; return the descriptor that holds the lock."""
    flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
    descriptor = os.open(folder / 'lock', flags, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise SettingsError(
            f'{folder} is in use by another process',
            remedy='give each history process its own data folder',
        ) from error
    return descriptor


def load_disk_id(folder: Path) -> str:
    """Return the identity of the disk; create it for an empty folder."""
    path = folder / 'disk-id'
    if path.exists():
        return _stored_disk_id(path)
    if segment_numbers(folder):
        raise DamagedError(
            f'{path} is missing but the folder has segments',
            remedy='replace this disk',
        )
    disk_id = secrets.token_hex(_DISK_ID_BYTES)
    replace_durably(path, disk_id)
    sync_folder(folder)
    return disk_id


def _stored_disk_id(path: Path) -> str:
    disk_id = path.read_text(encoding='ascii').strip()
    if not disk_id:
        raise DamagedError(f'{path} is empty', remedy='replace this disk')
    return disk_id
