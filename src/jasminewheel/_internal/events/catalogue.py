"""Collect all numbered events and format them as a page."""

import logging
from collections.abc import Iterator
from importlib import import_module
from pkgutil import iter_modules

from attrs import frozen

from jasminewheel._internal import events
from jasminewheel._internal.events.event import Event

_HEAD = """# Events

Every log line of a numbered event starts with `JW` and its number. This page
is made from the code by `scripts/events`; a test compares them.
"""


@frozen
class EventArea:
    """Represent the events of one module."""

    title: str
    events: tuple[Event, ...]


def event_areas() -> list[EventArea]:
    """Return the areas sorted by their first numbers."""
    found = list(_areas())
    return sorted(found, key=lambda area: area.events[0].number)


def state_change_numbers() -> frozenset[int]:
    """Return the numbers of events that change a process's state."""
    return frozenset(
        event.number
        for area in _areas()
        for event in area.events
        if event.state_change
    )


def event_page() -> str:
    """Return the page of all events in Markdown."""
    return '\n'.join((_HEAD, *map(_section, event_areas())))


def _areas() -> Iterator[EventArea]:
    for module_info in iter_modules(events.__path__):
        module = import_module(f'{events.__name__}.{module_info.name}')
        members = module.__dict__.values()
        declared = [one for one in members if isinstance(one, Event)]
        if declared:
            declared.sort(key=lambda event: event.number)
            title = (module.__doc__ or '').strip().rstrip('.')
            yield EventArea(title, tuple(declared))


def _section(area: EventArea) -> str:
    rows = '\n'.join(map(_row, area.events))
    return (
        f'## {area.title}\n\n'
        '| number | level | what happened | what to do |\n'
        '|---|---|---|---|\n'
        f'{rows}\n'
    )


def _row(event: Event) -> str:
    level = logging.getLevelName(event.level)
    return f'| {event.number} | {level} | {event.text} | {event.remedy} |'
