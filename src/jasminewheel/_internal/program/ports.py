"""Define the interfaces through which programs use other packages."""

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
    """Read and append the logs of one slot under this entry's fence."""

    log_ids: Collection[str]

    async def read(self, log_id: str) -> Sequence[StoredRecord]:
        """Return the recovered records of a log."""

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Append a record; return once a majority has stored it."""

    async def drop(self, log_id: str) -> None:
        """Remove the log of an ended program."""


class SlotOwnership(Protocol):
    """Seal and release slots."""

    async def own(self, slot: int) -> SlotLog:
        """Return the slot, sealing it if it is not owned."""

    def owned(self, slot: int) -> SlotLog | None:
        """Return the slot if it is owned."""

    def release(self, slot: int) -> None:
        """Release the slot."""


class Reservation(Protocol):
    """Represent the tokens of a caller's budget reserved for one call."""

    def settle(self, tokens: int) -> None:
        """Charge the tokens that were used and release the rest."""


class BudgetClient(Protocol):
    """Reserve tokens of callers' budgets."""

    def reserve(
        self, caller: str, tokens: int, now: float
    ) -> AbstractAsyncContextManager[Reservation]:
        """Reserve tokens; raise BudgetError if the budget is exhausted."""


class Spending(Protocol):
    """Reserve and charge the tokens of a call's attempts."""

    async def reserve(self) -> None:
        """Reserve the maximum that one attempt may spend."""

    async def retry(self, error: CallError) -> None:
        """Reserve again after an attempt that may have run."""

    def settle(self, tokens: int) -> None:
        """Charge the tokens that the last attempt used."""


class Decision(Protocol):
    """Represent the choice of a runner for a call."""

    runner: str
    url: str

    def first_token(self, now: float) -> None:
        """Report the first token."""

    def finished(self, usage: Any, now: float) -> None:
        """Report the complete answer."""

    def failed(self, now: float) -> None:
        """Report a failure of the runner."""


class Placer(Protocol):
    """Assign a runner to each call."""

    def place(
        self, request: PlacementRequest, now: float
    ) -> AbstractAsyncContextManager[Decision]:
        """Wait for a runner; raise OverloadedError if that takes too long."""


class Engine(Protocol):
    """Send requests to one model engine."""

    def generate(
        self, request: EngineRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[EngineReply]]:
        """Start a stream."""

    def resume(
        self, request_id: str, offset: int
    ) -> AbstractAsyncContextManager[AsyncIterator[EngineReply]]:
        """Resume a stream that the engine still holds."""

    async def cancel(self, request_id: str) -> None:
        """Stop a stream."""


class Service(Protocol):
    """Send requests to one runner of a service."""

    async def call(
        self,
        operation: str,
        body: Any,
        request_id: str,
        timeout_seconds: float,
    ) -> ServiceAnswer:
        """Return the answer; raise TargetFailedError with the verdict."""


class TargetClients(Protocol):
    """Provide clients of runners by address."""

    def engine(self, url: str) -> Engine:
        """Return the client of a model engine."""

    def service(self, url: str) -> Service:
        """Return the client of a service's runner."""


class EventSink(Protocol):
    """Receive the events of an operation in order."""

    async def __call__(self, event: OperationEvent) -> None:
        """Receive one event."""
