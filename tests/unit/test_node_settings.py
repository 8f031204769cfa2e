"""Check how a process reads the settings file of the platform."""

import pytest

from jasminewheel.errors import SettingsError
from jasminewheel.platform.settings import (
    FILE_VARIABLE,
    load_process_settings,
    read_node_settings,
)

NEEDED = """
NodeName = "entry-1"
Ip = "127.0.0.1"
Zone = "a"
PortRange = [7380, 7395]
[Platform]
Address = "127.0.0.1:1"
"""


def _read(tmp_path, text: str):
    path = tmp_path / 'settings.toml'
    path.write_text(NEEDED + text, encoding='utf-8')
    return read_node_settings(path)


def test_memory_of_the_process_is_read(tmp_path):
    """The memory is that of the file; without one that of the smallest VM."""
    found = _read(tmp_path, '[Limits]\nMemoryMb = 300')
    assert found.memory_bytes == 300 * 1048576
    assert _read(tmp_path, '').memory_bytes == 128 * 1048576


@pytest.mark.parametrize('memory', ['0', '-1', '"much"', '[1]'])
def test_wrong_memory_is_refused(tmp_path, memory):
    """The error names the field."""
    with pytest.raises(SettingsError, match='MemoryMb'):
        _read(tmp_path, f'[Limits]\nMemoryMb = {memory}')


def test_missing_variable_is_named(monkeypatch):
    """A process that is started without a settings file says what to set."""
    monkeypatch.delenv(FILE_VARIABLE, raising=False)
    with pytest.raises(SettingsError, match=FILE_VARIABLE):
        load_process_settings()
