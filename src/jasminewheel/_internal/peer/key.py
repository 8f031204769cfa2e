"""Read the key that all processes of a fleet share."""

from pathlib import Path

from jasminewheel.errors import SettingsError

MIN_KEY_BYTES = 32


def load_key(path: Path) -> bytes:
    """Return the key; raise SettingsError if it is unreadable or too short."""
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            f'{path}: cannot read the fleet key: {error}',
            remedy='name a readable file in key_file',
        ) from error
    if len(key) < MIN_KEY_BYTES:
        raise SettingsError(
            f'{path}: the fleet key is shorter than {MIN_KEY_BYTES} bytes',
            remedy='write a random key there, the same on every VM',
        )
    return key
