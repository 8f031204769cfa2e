"""Check that invalid settings are reported by file, line and field."""

import pytest
from attrs import frozen

from jasminewheel._internal.settings.loader import load_settings
from jasminewheel.errors import SettingsError


@frozen
class Listener:
    """Nested settings."""

    host: str
    port: int = 0


@frozen
class Sample:
    """Settings with a nested object."""

    member: str
    listener: Listener
    ratio: float = 1.0


def write(tmp_path, text):
    """Write a settings file and return its path."""
    path = tmp_path / 'sample.json'
    path.write_text(text)
    return path


def test_comments_are_read(tmp_path):
    """Comments are allowed anywhere in a settings file."""
    path = write(
        tmp_path, '{"member": "a", // who\n "listener": {"host": "h"}}'
    )
    assert load_settings(path, Sample) == Sample('a', Listener('h'))


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('{"member": "a",\n"listener": {"host": 7}}', ':2: listener.host: '),
        (
            '{"member": 3,\n"listener": {"host": "h"}}',
            ':1: member: expected str',
        ),
        ('{"member": "a", "listener": {}}', 'missing'),
        ('{"member": "a", "listener": {"host": "h"}, "x": 1}', 'field x'),
        ('{"member": "a", "listener": {"host": "h", "port": true}}', 'int'),
        ('{"member": ', 'not JSON'),
    ],
)
def test_wrong_field_is_named(tmp_path, text, expected):
    """The message names the line, the field and the problem."""
    with pytest.raises(SettingsError) as caught:
        load_settings(write(tmp_path, text), Sample)
    assert expected in str(caught.value)
    assert 'sample.json' in str(caught.value)


def test_missing_file_is_named(tmp_path):
    """A missing file is reported as a SettingsError."""
    with pytest.raises(SettingsError, match='cannot read'):
        load_settings(tmp_path / 'none.json', Sample)
