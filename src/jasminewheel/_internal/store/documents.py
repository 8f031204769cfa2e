"""Decode JSON values of the store, which any process may have written."""

import json
import reprlib
from collections.abc import Mapping
from typing import Any

# The largest number that a field may hold, so that all can be compared,
# divided and sent on.
MAX_NUMBER = 9223372036854775807
# Raised by reading a document that is not what it should be.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
_MAX_PROBLEM_LENGTH = 300


def decode_document(stored: bytes | str) -> Any:
    """Parse a document; raise ValueError if it cannot be represented."""
    try:
        return json.loads(
            stored,
            parse_int=_whole_number,
            parse_float=_fraction,
            parse_constant=_fraction,
        )
    except RecursionError as error:
        raise ValueError('JSON is nested too deeply') from error


def typed_field(fields: Mapping[str, Any], name: str, kind: type) -> Any:
    """Return a field; raise KeyError or TypeError if it is not of the type."""
    found = fields[name]
    if not isinstance(found, kind) or isinstance(found, bool):
        raise TypeError(f'{name} has another type: {shortened(found)}')
    return found


def text_field(fields: Mapping[str, Any], name: str) -> str:
    """Return a text; raise ValueError if it cannot be encoded."""
    found: str = typed_field(fields, name, str)
    found.encode()
    return found


def shortened(found: object) -> str:
    """Return a bounded representation of a value of any size and depth."""
    return reprlib.repr(found)


def problem_text(error: Exception) -> str:
    """Return a bounded description of a decoding error."""
    return f'{type(error).__name__}: {error}'[:_MAX_PROBLEM_LENGTH]


def _whole_number(digits: str) -> int:
    return _in_range(int(digits), digits)


def _fraction(text: str) -> float:
    return _in_range(float(text), text)


def _in_range(number: Any, text: str) -> Any:
    # A comparison with NaN is false.
    if abs(number) <= MAX_NUMBER:
        return number
    raise ValueError(f'{shortened(text)} is out of range')
