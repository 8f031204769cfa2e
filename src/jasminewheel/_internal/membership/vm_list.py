"""Read the platform's list of VMs, which may be out of date."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any, Protocol

import httpx
from attrs import define, field, frozen

from jasminewheel._internal.http.bounded_response import read_response
from jasminewheel.errors import UnavailableError

TIMEOUT_SECONDS = 5.0
_UNREADABLE = (httpx.HTTPError, LookupError, ValueError, RecursionError)
_LEAVING = 'leaving'


@frozen
class ListedVm:
    """Represent one row of the list."""

    member: str
    address: str
    leaving: bool


class VmList(Protocol):
    """Read the platform's list of VMs."""

    async def rows(self) -> list[ListedVm]:
        """Return the rows; raise UnavailableError if the list is unreadable."""


@define
class HttpVmList(AbstractAsyncContextManager['HttpVmList']):
    """Read the platform's list of VMs over HTTP."""

    url: str
    http: httpx.AsyncClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the connection pool."""
        self.http = httpx.AsyncClient(
            base_url=self.url,
            timeout=TIMEOUT_SECONDS,
        )

    async def __aexit__(self, *_exception: object) -> None:
        """Close the connections."""
        await self.http.aclose()

    async def rows(self) -> list[ListedVm]:
        """Return the rows; raise UnavailableError if the list is unreadable."""
        try:
            answer = await read_response(self.http, 'GET', '/v1/vms')
            found = answer.raise_for_status().json()
            return [_row(raw) for raw in found if isinstance(raw, dict)]
        except _UNREADABLE as error:
            raise UnavailableError(
                f'reading the list of VMs failed: {error!r}',
            ) from error


@asynccontextmanager
async def open_vms(url: str) -> AsyncIterator[VmList | None]:
    """Yield the list at a URL, or None without a URL."""
    if not url:
        yield None
        return
    async with HttpVmList(url) as vms:
        yield vms


def _row(raw: Any) -> ListedVm:
    return ListedVm(
        str(raw['member']),
        str(raw['address']),
        raw.get('state') == _LEAVING,
    )
