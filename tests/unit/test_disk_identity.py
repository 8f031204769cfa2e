"""Check that a disk keeps its identity through a loss of power."""

import os
import stat

import pytest

from jasminewheel._internal.history.folder import load_disk_id
from jasminewheel.errors import DamagedError


def test_identity_is_synced_before_it_is_named(tmp_path, monkeypatch):
    """What the name shows after a loss of power was durable before."""
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
    """A file that lost its content names no disk."""
    (tmp_path / 'disk-id').write_text('', encoding='ascii')
    with pytest.raises(DamagedError):
        load_disk_id(tmp_path)
