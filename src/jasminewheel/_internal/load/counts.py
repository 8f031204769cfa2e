"""Read the counts of fakes and check the promises against them."""

import re
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import httpx
import trio
from attrs import frozen

from jasminewheel._internal.load.records import (
    Breach,
    NonRepeatableCall,
    Promise,
    Records,
)
from jasminewheel.models.verdict import Verdict

RELEASE_SECONDS = 10
POLL_SECONDS = 0.25
# Separates the parts of identifiers that the system derives from callers'.
_SEPARATOR = re.compile('[/:|]')


@frozen
class EngineTotals:
    """Represent the sums of the engines' counts, in tokens."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    recomputed_tokens: int = 0
    evicted_unused_tokens: int = 0
    wasted_tokens: int = 0
    imported_tokens: int = 0
    preemptions: int = 0

    @property
    def computed_tokens(self) -> int:
        """Return the number of prompt tokens that were computed."""
        computed = self.prompt_tokens - self.cached_tokens
        return computed + self.recomputed_tokens

    def since(self, earlier: 'EngineTotals') -> 'EngineTotals':
        """Return the difference to an earlier reading."""
        return EngineTotals(
            *(
                getattr(self, name) - getattr(earlier, name)
                for name in _TOTAL_NAMES
            ),
        )


_TOTAL_NAMES = tuple(one.name for one in EngineTotals.__attrs_attrs__)


async def read_counts(
    http: httpx.AsyncClient, urls: Sequence[str]
) -> list[Mapping[str, Any]]:
    """Return the counts of each fake service; raise on a failed read."""
    found: list[Mapping[str, Any]] = []
    async with trio.open_nursery() as nursery:
        for url in urls:
            nursery.start_soon(_read_one, http, url, found)
    return found


async def _read_one(
    http: httpx.AsyncClient, url: str, found: list[Mapping[str, Any]]
) -> None:
    response = await http.get(f'{url}/control/counts')
    response.raise_for_status()
    found.append(response.json())


async def read_engine_totals(
    http: httpx.AsyncClient, urls: Sequence[str]
) -> EngineTotals:
    """Return the sum over all engines."""
    counts = await read_counts(http, urls)
    return EngineTotals(
        *(sum(one.get(name, 0) for one in counts) for name in _TOTAL_NAMES),
    )


async def read_runs(
    http: httpx.AsyncClient, urls: Sequence[str]
) -> Counter[str]:
    """Return the number of runs at the services by caller's request."""
    runs: Counter[str] = Counter()
    for counts in await read_counts(http, urls):
        for counted, times in counts['runs'].items():
            runs[_SEPARATOR.split(counted)[-1]] += times
    return runs


def find_run_breaches(
    once_calls: Iterable[NonRepeatableCall], runs: Mapping[str, int]
) -> list[Breach]:
    """Return the calls whose run count contradicts the reported verdict."""
    found = []
    for call in once_calls:
        times = runs.get(call.request_id, 0)
        promise = _broken_promise(call.verdict, times)
        if promise is not None:
            found.append(Breach(promise, call.request_id, f'{times} runs'))
    return found


def _broken_promise(verdict: Verdict, times: int) -> Promise | None:
    if times > 1:
        return Promise.at_most_once
    if verdict is Verdict.ran and not times:
        return Promise.answered_ran
    if verdict is Verdict.not_run and times:
        return Promise.not_run
    return None


async def check_pins_released(
    http: httpx.AsyncClient, urls: Sequence[str], records: Records
) -> None:
    """Wait until engines hold no pins; record a breach after a timeout."""
    pins = 0
    with trio.move_on_after(RELEASE_SECONDS):
        while True:
            counts = await read_counts(http, urls)
            pins = sum(one.get('pins', 0) for one in counts)
            if not pins:
                return
            await trio.sleep(POLL_SECONDS)
    records.breaches.append(
        Breach(Promise.memory_released, '', f'{pins} pins left'),
    )
