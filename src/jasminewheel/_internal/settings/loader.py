"""Load a settings file into an attrs class and locate invalid fields."""

import re
from functools import partial
from json import JSONDecodeError
from pathlib import Path
from reprlib import repr as short_repr
from typing import Any, TypeVar, get_args, get_origin

import jsonc
from cattrs import Converter
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.dispatch import StructureHook

from jasminewheel._internal.settings.problems import list_problems
from jasminewheel.errors import SettingsError

SettingsT = TypeVar('SettingsT')
_INDEX = re.compile(r"\[\d+\]|\['[^']*'\]")


def make_converter() -> Converter:
    """Return a converter that rejects unknown fields and wrong types."""
    converter = Converter(
        forbid_extra_keys=True,
        prefer_attrib_converters=True,
    )
    for scalar in (int, float, str, bool):
        converter.register_structure_hook(scalar, _strict_scalar)
    converter.register_structure_hook_factory(_is_list, _strict_list)
    return converter


def _is_list(kind: Any) -> bool:
    return get_origin(kind) is tuple and get_args(kind)[1:] == (Ellipsis,)


def _strict_list(kind: Any, converter: Converter) -> StructureHook:
    """Return a hook that rejects strings instead of splitting them."""
    structure = homogenous_tuple_structure_factory(kind, converter)
    return partial(_structure_list, structure)


def _structure_list(structure: StructureHook, raw: Any, kind: Any) -> Any:
    if not isinstance(raw, list):
        raise ValueError(f'expected a list, got {short_repr(raw)}')
    return structure(raw, kind)


def _strict_scalar(raw: Any, kind: type) -> Any:
    if kind is float and isinstance(raw, int) and not isinstance(raw, bool):
        return float(raw)
    is_flag = isinstance(raw, bool)
    if not isinstance(raw, kind) or is_flag != (kind is bool):
        raise ValueError(f'expected {kind.__name__}, got {short_repr(raw)}')
    return raw


def load_settings(path: Path, kind: type[SettingsT]) -> SettingsT:
    """Load a settings file; raise SettingsError with file, line and field."""
    text = _read(path)
    raw = _parse(path, text)
    try:
        return make_converter().structure(raw, kind)
    except Exception as error:
        raise SettingsError(
            '\n'.join(describe_problems(error, text, str(path))),
            remedy='correct the listed fields and start again',
        ) from error


def describe_problems(error: Exception, text: str, source: str) -> list[str]:
    """Return one line per invalid field: source, line, path and problem."""
    return [
        f'{source}:{_line_of(text, found.path)}: {found}'
        for found in list_problems(error)
    ]


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path}: cannot read settings: {error}',
            remedy='pass a readable UTF-8 file in JSON with comments',
        ) from error


def _parse(path: Path, text: str) -> Any:
    try:
        return jsonc.loads(text)
    except JSONDecodeError as error:
        raise SettingsError(
            f'{path}:{error.lineno}: not JSON with comments: {error.msg}',
            remedy='correct the line named in the message',
        ) from error
    except ValueError as error:
        raise SettingsError(f'{path}: not JSON: {error}') from error


def _line_of(text: str, path: str) -> int:
    """Return the line of the last key of a field path; search keys in order."""
    position = 0
    for key in _INDEX.sub('', path).split('.'):
        found = text.find(f'"{key}"', position)
        if key and found >= 0:
            position = found
    return text.count('\n', 0, position) + 1
