"""Print responses as tables or as JSON."""

import json
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from enum import Enum
from typing import Any

from attrs import define, field
from rich.console import Console
from rich.table import Table


class OutputFormat(Enum):
    """Enumerate the output formats."""

    table = 'table'
    json = 'json'


@define
class Printer:
    """Print to standard output in the selected format."""

    output: OutputFormat
    console: Console = field(factory=Console)

    def show(
        self,
        answer: Any,
        columns: Sequence[str],
        rows: Iterable[Sequence[Any]],
    ) -> None:
        """Print the response as JSON, or the rows as a table."""
        if self.output is OutputFormat.json:
            self.console.out(json.dumps(answer, indent=2, sort_keys=True))
            return
        table = Table(*columns, box=None, pad_edge=False)
        for row in rows:
            table.add_row(*map(str, row))
        self.console.print(table)

    def lines(self, answer: Any, lines: Iterable[str]) -> None:
        """Print the response as JSON, or the lines as text."""
        if self.output is OutputFormat.json:
            lines = [json.dumps(answer, indent=2, sort_keys=True)]
        for line in lines:
            self.console.out(line, highlight=False)


def time_text(at: float) -> str:
    """Return a Unix time in ISO 8601, in UTC to the millisecond."""
    moment = datetime.fromtimestamp(at, UTC)
    return moment.isoformat(timespec='milliseconds')


def fields_text(fields: dict[str, Any]) -> str:
    """Return the fields as `name=value`, separated by spaces."""
    return ' '.join(f'{name}={fields[name]}' for name in fields)
