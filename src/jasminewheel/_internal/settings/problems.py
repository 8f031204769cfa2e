"""List the invalid fields of a document that could not be structured."""

import re

from attrs import frozen
from cattrs import transform_error
from cattrs.errors import ForbiddenExtraKeysError

_PATH = re.compile(r'^(?P<problem>.*) @ \$\.?(?P<path>.*)$', re.DOTALL)


@frozen(order=True)
class FieldProblem:
    """Describe an invalid field by its path and the problem."""

    path: str
    problem: str

    def __str__(self) -> str:
        """Return `path: problem`."""
        location = self.path or 'top level'
        return f'{location}: {self.problem}'


def list_problems(error: Exception) -> list[FieldProblem]:
    """Return the invalid fields that caused an error of the converter."""
    found = []
    for line in transform_error(error, format_exception=_format_problem):
        match = _PATH.match(line)
        if match:
            found.append(FieldProblem(match['path'], match['problem']))
        else:
            found.append(FieldProblem('', line))
    return found


def _format_problem(error: BaseException, kind: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        names = ', '.join(sorted(error.extra_fields))
        return f'unknown field {names}'
    if isinstance(error, KeyError):
        return 'a required field is missing'
    if isinstance(error, AttributeError):
        return 'expected an object'
    return str(error) or type(error).__name__
