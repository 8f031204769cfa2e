"""Check that the identity of a disk survives a power loss."""

import os
import stat

import pytest

from jasminewheel._internal.history.folder import load_disk_id
from jasminewheel.errors import DamagedError


def test_identity_is_synced_before_it_is_named(tmp_path, monkeypatch):
    """The content of the file is durable before its name is.

    Otherwise a power loss could leave the name with an empty file.
    """
    synced: list[int] = []
    real_sync = os.fsync

    def note_sync(descriptor: int) -> None:
        if stat.S_ISREG(os.fstat(descriptor).st_mode):
            synced.append(os.fstat(descriptor).st_size)
        real_sync(descriptor)

    monkeypatch.setattr(os, 'fsync', note_sync)
    disk_id = load_disk_id(tmp_path)
    assert synced == [len(disk_id)]
    assert load_disk_id(tmp_path) == disk_id


def test_empty_identity_is_no_identity(tmp_path):
    """An empty identity file is an error, not an identity."""
    (tmp_path / 'disk-id').write_text('', encoding='ascii')
    with pytest.raises(DamagedError):
        load_disk_id(tmp_path)
