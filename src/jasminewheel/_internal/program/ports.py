"""Describe what the program's flow needs of the other parts."""

from collections.abc import AsyncIterator, Collection, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol, TypeAlias

from jasminewheel._internal.program.records import StoredRecord
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.targets.engine import (
    EngineRequest,
    EngineToken,
    EngineUsage,
)
from jasminewheel._internal.targets.service import ServiceAnswer
from jasminewheel._internal.wire.gen.program.ttypes import OperationEvent
from jasminewheel.errors import CallError

EngineReply: TypeAlias = EngineToken | EngineUsage


class SlotLog(Protocol):
    """Keep the logs of one slot under this entry's fence."""

    log_ids: Collection[str]

    async def read(self, log_id: str) -> Sequence[StoredRecord]:
        """Return the recovered records of a log."""

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Return when a majority holds the record."""

    async def drop(self, log_id: str) -> None:
        """Remove the log of an ended program."""


class SlotOwnership(Protocol):
    """Seal slots and give them up."""

    async def own(self, slot: int) -> SlotLog:
        """Return the slot, sealed if it was not owned."""

    def owned(self, slot: int) -> SlotLog | None:
        """Return the slot if it is owned."""

    def release(self, slot: int) -> None:
        """Give the slot up."""


class Reservation(Protocol):
    """Hold tokens of a caller's budget for one call."""

    def settle(self, tokens: int) -> None:
        """Spend the tokens that were used; the rest is given back."""


class BudgetClient(Protocol):
    """Reserve tokens of callers' budgets."""

    def reserve(
        self, caller: str, tokens: int, now: float
    ) -> AbstractAsyncContextManager[Reservation]:
        """Reserve tokens; raise BudgetError if they are not there."""


class Spending(Protocol):
    """Keep a call's attempts within the budget."""

    async def reserve(self) -> None:
        """Reserve the most that one attempt may spend."""

    async def retry(self, error: CallError) -> None:
        """Reserve again after an attempt that may have run."""

    def settle(self, tokens: int) -> None:
        """Spend what the last attempt used."""


class Decision(Protocol):
    """Name the runner given to a call."""

    runner: str
    url: str

    def first_token(self, now: float) -> None:
        """Report the first token."""

    def finished(self, usage: Any, now: float) -> None:
        """Report the whole answer."""

    def failed(self, now: float) -> None:
        """Report a failure of the runner."""


class Placer(Protocol):
    """Give each call a runner when its turn comes."""

    def place(
        self, request: PlacementRequest, now: float
    ) -> AbstractAsyncContextManager[Decision]:
        """Wait for a runner; raise OverloadedError if that takes too long."""


class Engine(Protocol):
    """Talk to one model engine."""

    def generate(
        self, request: EngineRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[EngineReply]]:
        """Start a stream."""

    def resume(
        self, request_id: str, offset: int
    ) -> AbstractAsyncContextManager[AsyncIterator[EngineReply]]:
        """Take up a stream that an engine still knows."""

    async def cancel(self, request_id: str) -> None:
        """Stop a stream."""


class Service(Protocol):
    """Talk to one runner of a plain service."""

    async def call(
        self,
        operation: str,
        body: Any,
        request_id: str,
        timeout_seconds: float,
    ) -> ServiceAnswer:
        """Return the answer; raise TargetFailedError with the verdict."""


class TargetClients(Protocol):
    """Give clients of runners by address."""

    def engine(self, url: str) -> Engine:
        """Return the client of a model engine."""

    def service(self, url: str) -> Service:
        """Return the client of a service's runner."""


class EventSink(Protocol):
    """Take the events of an operation as they come."""

    async def __call__(self, event: OperationEvent) -> None:
        """Take one event."""
