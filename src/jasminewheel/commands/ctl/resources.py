"""Read and change the resources of the configuration."""

from collections.abc import Iterator, Sequence
from itertools import chain
from pathlib import Path
from typing import Any

from attrs import define

from jasminewheel.commands.ctl.client import OperatorClient
from jasminewheel.commands.ctl.differences import find_differences
from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.files import read_files
from jasminewheel.commands.ctl.kinds import collection_of
from jasminewheel.commands.ctl.tables import Printer

WAIT_SECONDS = 30
_VERSION = 'version'


@define
class ResourceCommands:
    """Run the commands on resources."""

    client: OperatorClient
    printer: Printer

    def apply(self, paths: Sequence[Path], *, dry_run: bool) -> ExitCode:
        """Apply all resources of the files in one change."""
        body = {'resources': read_files(paths), 'dry_run': dry_run}
        answer = self.client.post('apply', body)
        verb = 'would change' if dry_run else 'changed'
        lines = [
            f'{verb} {one["kind"]}/{one["name"]}' for one in answer['changed']
        ]
        self.printer.lines(answer, [*lines, _version_line(answer)])
        return ExitCode.done

    def diff(self, paths: Sequence[Path]) -> ExitCode:
        """Show the changes that apply would make."""
        found = list(find_differences(self.client, read_files(paths)))
        answer = {one.name: list(one.lines) for one in found}
        lines = chain.from_iterable((one.name, *one.lines) for one in found)
        self.printer.lines(answer, list(lines) or ['no differences'])
        return ExitCode.differs if found else ExitCode.done

    def get(self, kind: str, name: str) -> ExitCode:
        """Show one resource with its status."""
        resource = self.client.get(f'{collection_of(kind)}/{name}')
        self.printer.show(
            resource,
            ('FIELD', 'VALUE'),
            _rows_of(resource),
        )
        return ExitCode.done

    def list(self, kind: str) -> ExitCode:
        """Show all resources of a kind."""
        found = self.client.get(collection_of(kind))
        rows = [
            (one['name'], one[_VERSION], _summary(one['spec']))
            for one in found['items']
        ]
        self.printer.show(found, ('NAME', 'VERSION', 'SPEC'), rows)
        return ExitCode.done

    def delete(self, kind: str, name: str, version: int | None) -> ExitCode:
        """Delete one resource."""
        query = {} if version is None else {'version': version}
        path = f'{collection_of(kind)}/{name}'
        answer = self.client.delete(path, **query)
        self.printer.lines(answer, [_version_line(answer)])
        return ExitCode.done

    def watch(self, kind: str, after: int | None, seconds: float) -> ExitCode:
        """Show changes as they take effect."""
        if after is None:
            after = self.client.get('policies')[_VERSION]
        for answer in self.watched(kind, after, seconds):
            for change in answer['changes']:
                self.printer.lines(change, [_change_line(change)])
        return ExitCode.done

    def watched(
        self,
        kind: str,
        version: int,
        seconds: float,
    ) -> Iterator[dict[str, Any]]:
        """Yield one response of the watch, or endless ones if seconds is 0."""
        wait = int(seconds) or WAIT_SECONDS
        while True:
            answer = self.client.get(
                'watch',
                after=version,
                kind=kind,
                wait_seconds=wait,
            )
            yield answer
            version = answer[_VERSION]
            if seconds:
                return

    def drain_runner(self, target: str, runner: str, *, undo: bool) -> ExitCode:
        """Stop placing work on a runner, or resume it if undo is set."""
        resource = self.client.get(f'targets/{target}')
        runners = resource['spec']['runners']
        named = [one for one in runners if one['name'] == runner]
        if not named:
            raise CommandError(
                f'target {target} has no runner {runner}',
                ExitCode.missing,
            )
        named[0]['draining'] = not undo
        document = {
            'kind': 'target',
            'name': target,
            'version': resource[_VERSION],
            'spec': resource['spec'],
        }
        answer = self.client.post('apply', {'resources': [document]})
        self.printer.lines(answer, [_version_line(answer)])
        return ExitCode.done


def _version_line(answer: dict[str, Any]) -> str:
    version = answer[_VERSION]
    return f'version {version}'


def _rows_of(resource: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    for head in ('name', 'version'):
        yield head, resource[head]
    for section in ('spec', 'status'):
        fields = resource.get(section, {})
        for name in fields:
            yield f'{section}.{name}', fields[name]


def _summary(spec: dict[str, Any]) -> str:
    parts = []
    for name in spec:
        field = spec[name]
        shown = len(field) if isinstance(field, list | dict) else field
        parts.append(f'{name}={shown}')
    return ' '.join(parts)


def _change_line(change: dict[str, Any]) -> str:
    place = f'{change["kind"]}/{change["name"]}'
    return f'{change["version"]} {change["type"]} {place}'
