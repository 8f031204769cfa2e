"""Check the catalogue of events, its page and the ring of events."""

import logging
from collections import Counter
from pathlib import Path

from jasminewheel._internal.events.catalogue import event_areas, event_page
from jasminewheel._internal.events.event import Event
from jasminewheel._internal.observability.event_ring import EventRing

PAGE = Path(__file__).parents[2] / 'docs' / 'events.md'
MAX_AREA_NUMBERS = 200


def test_page_matches_the_code():
    """The page is up to date with scripts/events."""
    assert PAGE.read_text(encoding='utf-8') == event_page()


def test_numbers_are_used_once():
    """Event numbers are unique and close together within an area."""
    areas = event_areas()
    numbers = Counter(one.number for area in areas for one in area.events)
    assert [number for number, count in numbers.items() if count > 1] == []
    for area in areas:
        spread = area.events[-1].number - area.events[0].number
        assert spread < MAX_AREA_NUMBERS


def test_warnings_say_what_to_do():
    """Each event at warning level or above has a remedy."""
    without_remedy = [
        one.number
        for area in event_areas()
        for one in area.events
        if one.level >= logging.WARNING and not one.remedy
    ]
    assert without_remedy == []


def test_ring_keeps_the_last_events():
    """The ring is bounded and finds events by any of their fields."""
    logger = logging.Logger('ring')
    ring = EventRing(max_events=3)
    logger.addHandler(ring)
    event = Event(1, logging.WARNING, 'something happened')
    for number in range(5):
        event.log(logger, request=f'r{number}')
    logger.warning('not an event')
    assert [kept.position for kept in ring.after(0)] == [3, 4, 5]
    found = [kept.text for kept in ring.after(0, 'r4')]
    assert found == ['something happened']
    assert not list(ring.after(0, 'r1'))
