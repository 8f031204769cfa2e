"""Show the members of the fleet, their events and changes."""

import json
from collections.abc import Iterable
from typing import Any

from attrs import define

from jasminewheel.commands.ctl.client import OperatorClient
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.tables import (
    Printer,
    fields_text,
    time_text,
)

_MEMBER_COLUMNS = (
    'MEMBER',
    'ZONE',
    'REGION',
    'ROLES',
    'STATE',
    'CONFIGURATION',
    'REPLICA SETS',
    'STARTED',
)


@define
class FleetCommands:
    """Run the commands on members and events."""

    client: OperatorClient
    printer: Printer

    def status(self, section: str) -> ExitCode:
        """Show all members, or one section of each member's status."""
        answer = self.client.get('status')
        if section:
            self.show_section(answer, section)
            return ExitCode.done
        rows = [_member_row(one) for one in answer['members']]
        self.printer.show(answer, _MEMBER_COLUMNS, rows)
        return ExitCode.done

    def show_section(self, answer: Any, section: str) -> None:
        """Print one section of each member's status."""
        rows = [
            (one['member'], json.dumps(one['sections'].get(section)))
            for one in answer['members']
        ]
        self.printer.show(answer, ('MEMBER', section.upper()), rows)

    def drain(self, member: str) -> ExitCode:
        """Start the graceful shutdown of a member."""
        answer = self.client.post(f'members/{member}/drain', {})
        self.printer.lines(answer, [f'{member} is draining and will then stop'])
        return ExitCode.done

    def explain(self, subject: str) -> ExitCode:
        """Show the events of all members that concern a subject."""
        answer = self.client.get('events', subject=subject)
        self.show_events(answer, answer['events'])
        return ExitCode.done if answer['events'] else ExitCode.missing

    def events(self) -> ExitCode:
        """Show the most recent events of all members."""
        answer = self.client.get('events')
        self.show_events(answer, answer['events'])
        return ExitCode.done

    def audit(self) -> ExitCode:
        """Show the recorded changes of the configuration."""
        answer = self.client.get('audit')
        rows = [
            (
                one['version'],
                time_text(one['at']),
                one['operator'],
                one['count'],
                ' '.join(one['keys']),
            )
            for one in answer['changes']
        ]
        columns = ('VERSION', 'AT', 'OPERATOR', 'RESOURCES', 'NAMES')
        self.printer.show(answer, columns, rows)
        return ExitCode.done

    def show_events(self, answer: Any, events: Iterable[Any]) -> None:
        """Print one line per event."""
        self.printer.lines(
            answer,
            [
                ' '.join(
                    (
                        time_text(one['at']),
                        one['member'],
                        f'JW{one["event"]}',
                        one['text'],
                        fields_text(one['fields']),
                    ),
                )
                for one in events
            ],
        )


def _member_row(member: dict[str, Any]) -> list[Any]:
    state = 'leaving' if member['leaving'] else 'live'
    if not member['started_at']:
        state = 'silent'
    row = [member[name] for name in ('member', 'zone', 'region')]
    row.extend((','.join(member['roles']), state))
    row.extend((member['configuration_version'], member['placement_epoch']))
    row.append(time_text(member['started_at']))
    return row
