"""Read resources from files in JSON with comments."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import jsonc

from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode

_SUFFIXES = frozenset(('.json', '.jsonc'))


def read_files(paths: Sequence[Path]) -> list[Any]:
    """Return the resources of files, and of the JSON files in folders."""
    found: list[Any] = []
    for path in paths:
        for file in _files_of(path):
            found.extend(_read_file(file))
    return found


def _files_of(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    return sorted(one for one in path.iterdir() if one.suffix in _SUFFIXES)


def _read_file(path: Path) -> list[Any]:
    """Return the resources of a file.

    The file contains one resource, a list, or a list under `resources`.
    """
    try:
        content = jsonc.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise CommandError(
            f'{path}: {error}',
            ExitCode.usage,
            remedy='pass readable files in JSON with comments',
        ) from error
    if isinstance(content, dict) and 'resources' in content:
        content = content['resources']
    return content if isinstance(content, list) else [content]
