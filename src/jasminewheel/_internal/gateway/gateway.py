"""Route each caller's request, and answer it exactly once."""

import logging
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from zlib import crc32

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.attempts import CallRecord, unanswered_error
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.plain_flow import PlainFlow
from jasminewheel._internal.gateway.routes import (
    NO_ROUTES,
    CallKind,
    Route,
    RoutingTable,
    TargetProfile,
)
from jasminewheel._internal.gateway.turn_flow import TurnFlow
from jasminewheel._internal.organisations.gate import (
    OrganisationGate,
    open_gate,
)
from jasminewheel._internal.organisations.organisation import Organisation
from jasminewheel._internal.store.proof import boot_seconds
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel.errors import (
    CallError,
    ConnectionLostError,
    DeadlineError,
    NotFoundError,
    TargetFailedError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

# Retry-After of a process that has not loaded a configuration yet.
START_RETRY_SECONDS = 0.5
_HASH_RANGE = 4294967296
_LOGGER = logging.getLogger(__name__)


@frozen
class ConfigurationSource:
    """Tell where a configuration was read, for the log."""

    # The store's revision that wrote it.
    revision: int = 0
    size_bytes: int = 0
    # How long ago the store answered whoever read it.
    read_age_seconds: float = 0


UNKNOWN_SOURCE = ConfigurationSource()


@define(eq=False)
class RoutesHolder:
    """Provide the newest configuration; older versions are ignored."""

    current: RoutingTable = NO_ROUTES
    loaded: trio.Event = field(factory=trio.Event)

    def adopt(
        self,
        table: RoutingTable,
        source: ConfigurationSource = UNKNOWN_SOURCE,
    ) -> bool:
        """Apply the configuration if it is newer; return whether it was."""
        if table.version <= self.current.version:
            return False
        events.ROUTES_ADOPTED.log(
            _LOGGER,
            version=table.version,
            before=self.current.version,
            routes=len(table.routes),
            revision=source.revision,
            size_bytes=source.size_bytes,
            list_age=round(source.read_age_seconds, 2),
        )
        self.current = table
        self.loaded.set()
        return True


@frozen
class RoutedCall:
    """Represent a call with its route and the configuration it came from."""

    call: Call
    route: Route
    table: RoutingTable
    # Whose call it is, if callers need keys.
    organisation: Organisation | None = None

    @property
    def deadline_at(self) -> float:
        """Return when the call has to be answered at the latest."""
        timeout_at = self.call.arrived_at + self.route.timeout_seconds
        return min(self.call.deadline_at, timeout_at)


@frozen
class Gateway:
    """Answer calls by the flow that their route selects."""

    routes: RoutesHolder
    plain: PlainFlow
    turns: TurnFlow
    gate: OrganisationGate = field(factory=open_gate)
    # Scopes of the calls in progress.
    open_calls: set[trio.CancelScope] = field(factory=set)

    def end_calls(self) -> None:
        """End the calls in progress, because this process has to stop.

        Each is answered with an error that says whether it may have run.
        """
        for scope in self.open_calls:
            scope.cancel()

    def route(self, call: Call) -> RoutedCall:
        """Return the call with its route; raise CallError if refused."""
        table = self.routes.current
        route = self.route_of(call, table)
        organisation = self.gate.identify(
            table, route, call.key, boot_seconds()
        )
        return RoutedCall(call, route, table, organisation)

    async def serve(self, routed: RoutedCall, answer: AnswerWriter) -> None:
        """Answer one call; raise CallError if it is refused or fails."""
        call, route, table = routed.call, routed.route, routed.table
        share = crc32((call.turn.program_id or call.call_id).encode())
        record = CallRecord(
            call,
            route,
            route.target_for(share / _HASH_RANGE),
            routed.deadline_at,
            organisation=routed.organisation,
        )
        try:
            await self.serve_until_deadline(record, answer, table)
        except CallError as error:
            self.log_error(record, table, error)
            raise
        except trio.Cancelled:
            events.ABANDONED.log(_LOGGER, **_fields(record, table))
            raise
        events.ENDED.log(_LOGGER, **_fields(record, table))

    async def serve_until_deadline(
        self, record: CallRecord, answer: AnswerWriter, table: RoutingTable
    ) -> None:
        """Answer the call; raise if its deadline or this process ends first.

        Raise UnavailableError if the call has not run by then, or else
        DeadlineError or TargetFailedError.
        """
        scope = trio.CancelScope(deadline=record.deadline_at)
        with self.tracked(scope):
            await self.dispatch_once(record, answer, table)
        if scope.cancelled_caught:
            raise ended_error(record, trio.current_time())

    @contextmanager
    def tracked(self, scope: trio.CancelScope) -> Iterator[None]:
        """Run a call in a scope that the end of this process cancels."""
        with ExitStack() as stack:
            stack.callback(self.open_calls.discard, scope)
            self.open_calls.add(scope)
            stack.enter_context(scope)
            yield

    async def dispatch_once(
        self, record: CallRecord, answer: AnswerWriter, table: RoutingTable
    ) -> None:
        """Answer the call; a connection lost midway is the target's failure."""
        try:
            await self.dispatch(record, answer, table)
        except ConnectionLostError as error:
            raise TargetFailedError(
                error.message, verdict=Verdict.may_have_run
            ) from error

    async def dispatch(
        self, record: CallRecord, answer: AnswerWriter, table: RoutingTable
    ) -> None:
        """Answer by the flow for the route's kind of call."""
        if record.route.kind is CallKind.streaming:
            target = table.targets.get(
                record.target, TargetProfile(record.target)
            )
            await self.turns.run(record, answer, target.tokens_per_event)
        else:
            await self.plain.run(record, answer)

    def route_of(self, call: Call, table: RoutingTable) -> Route:
        """Return the call's route; raise if there is none."""
        if not table.version:
            raise UnavailableError(
                'no configuration has been loaded yet',
                retry_after_seconds=START_RETRY_SECONDS,
            )
        route = table.match(call.host, call.path)
        if route is None:
            raise NotFoundError(f'no route for {call.host}{call.path}')
        return route

    def log_error(
        self, record: CallRecord, table: RoutingTable, error: CallError
    ) -> None:
        """Log a call that was refused or failed."""
        events.REFUSED.log(
            _LOGGER,
            **_fields(record, table),
            code=error.code,
            problem=error.message,
            verdict=error.verdict.value,
        )


def _organisation_field(record: CallRecord) -> dict[str, object]:
    if record.organisation is None:
        return {}
    return {'organisation': record.organisation.name}


def ended_error(record: CallRecord, now: float) -> Exception:
    """Return the error of a call that was ended before its answer."""
    overdue = now >= record.deadline_at
    if overdue and record.verdict is not Verdict.not_run:
        return DeadlineError('deadline exceeded', verdict=record.verdict)
    problem = 'deadline exceeded' if overdue else 'this entry has to stop'
    return unanswered_error(record, f'{problem} before the call was answered')


def _fields(record: CallRecord, table: RoutingTable) -> dict[str, object]:
    now = trio.current_time()
    return {
        'request': record.call.call_id,
        'route': record.route.name,
        'version': table.version,
        'target': record.target,
        'runner': record.runner,
        'status': record.status,
        'attempts': record.attempts,
        'program': record.call.turn.program_id,
        **_organisation_field(record),
        'seconds': round(now - record.call.arrived_at, 4),
        'left': round(record.deadline_at - now, 4),
        **record.log_fields,
    }
