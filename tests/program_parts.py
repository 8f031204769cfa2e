"""Provide in-memory test doubles for the interfaces of programs."""

import contextlib
import time

import trio
from attrs import define, field
from program_configuration import make_snapshot

from jasminewheel import errors
from jasminewheel._internal.program.ending import ProgramEnding
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.model_calls import ModelCalls
from jasminewheel._internal.program.opening import ProgramOpening
from jasminewheel._internal.program.operations import ProgramOperations
from jasminewheel._internal.program.service_calls import ServiceCalls
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.program.unlimited_budget import UnlimitedBudget
from jasminewheel._internal.replication.record import LogRecord
from jasminewheel._internal.targets.engine import EngineToken, EngineUsage
from jasminewheel._internal.targets.service import ServiceAnswer
from jasminewheel.models.verdict import Verdict

TEXT = 'replace the fuse and check the lamp'


@define(eq=False)
class MemoryLogs:
    """Store the records of all logs, shared by all owners."""

    records: dict[str, list[LogRecord]] = field(factory=dict)
    fence: int = 0
    failures: int = 0


@define(eq=False)
class MemorySlot:
    """Read and append logs under one fence."""

    logs: MemoryLogs
    fence: int
    lost: bool = False

    @property
    def log_ids(self):
        """Return the names of the logs."""
        return frozenset(self.logs.records)

    def check(self):
        """Raise FencedError for an old fence."""
        if self.fence < self.logs.fence:
            self.lost = True
            raise errors.FencedError('old fence')

    async def read(self, log_id):
        """Return a log."""
        await trio.lowlevel.checkpoint()
        self.check()
        return list(self.logs.records.get(log_id, ()))

    async def append(self, log_id, index, kind, payload):
        """Append to a log."""
        await trio.lowlevel.checkpoint()
        self.check()
        if self.logs.failures:
            self.logs.failures -= 1
            raise errors.QuorumError('one replica')
        records = self.logs.records.setdefault(log_id, [])
        assert index == len(records)
        records.append(LogRecord(index, kind, payload))

    async def drop(self, log_id):
        """Remove a log."""
        self.logs.records.pop(log_id, None)


class MemoryOwnership:
    """Own every slot that was sealed."""

    def __init__(self, logs):
        """Start with no slot."""
        self.logs = logs
        self.slots = {}

    async def own(self, slot):
        """Seal a slot with a higher fence."""
        if slot not in self.slots:
            self.logs.fence += 1
            self.slots[slot] = MemorySlot(self.logs, self.logs.fence)
        return self.slots[slot]

    def owned(self, slot):
        """Return a slot that was sealed here and not lost since."""
        owned = self.slots.get(slot)
        if owned and owned.lost:
            self.release(slot)
            return None
        return owned

    def release(self, slot):
        """Release a slot."""
        self.slots.pop(slot, None)


@define(eq=False)
class Placed:
    """Record a decision and the reports on it."""

    runner: str
    url: str
    reports: list = field(factory=list)

    def first_token(self, now):
        """Ignore the first token."""

    def finished(self, usage, now):
        """Record the end."""
        self.reports.append('finished')

    def failed(self, now):
        """Record a failure."""
        self.reports.append('failed')


class DirectPlacer:
    """Assign the runners of each target round-robin."""

    def __init__(self, snapshot):
        """Start with the first runner."""
        self.snapshot = snapshot
        self.decisions = []

    @contextlib.asynccontextmanager
    async def place(self, request, now):
        """Assign the next runner."""
        runners = self.snapshot.targets[request.target].runners
        runner = runners[len(self.decisions) % len(runners)]
        decision = Placed(runner.name, runner.url)
        self.decisions.append(decision)
        await trio.lowlevel.checkpoint()
        yield decision


@define(eq=False)
class MemoryTargets:
    """Run model and service calls in memory, with faults on demand."""

    runs: list = field(factory=list)
    streams: dict = field(factory=dict)
    break_after: list = field(factory=list)
    service_faults: list = field(factory=list)
    gate: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        """Let calls through until a test closes the gate."""
        self.gate.set()

    def engine(self, url):
        """Return the engine, the same for all addresses."""
        return self

    def service(self, url):
        """Return the service, the same for all addresses."""
        return self

    @contextlib.asynccontextmanager
    async def generate(self, request):
        """Stream the rest of the text, or only a part under a fault."""
        self.runs.append(request.request_id)
        breaks = self.break_after.pop(0) if self.break_after else None
        if breaks == 'refuse':
            raise errors.TargetFailedError('no connection')
        self.streams[request.request_id] = request
        yield self.tokens(len(request.continue_text), breaks)

    @contextlib.asynccontextmanager
    async def resume(self, request_id, offset):
        """Stream a known answer again."""
        if request_id not in self.streams:
            raise errors.NotFoundError('no stream')
        self.runs.append(f'resume {request_id}')
        yield self.tokens(offset, None)

    async def cancel(self, request_id):
        """Record the cancellation."""
        self.runs.append(f'cancel {request_id}')

    async def tokens(self, offset, breaks):
        """Yield one character per token."""
        stop = len(TEXT) if breaks is None else offset + breaks
        for index in range(offset, stop):
            # Tokens come one after the other.
            await self.pass_gate(index - offset)  # noqa: WPS476
            yield EngineToken(index, TEXT[index])
        if breaks is not None:
            raise errors.TargetFailedError('gone', verdict=Verdict.may_have_run)
        yield EngineUsage(10, 4, len(TEXT), 'stop')

    async def pass_gate(self, count):
        """Wait at the gate after three tokens."""
        if count == 3:
            await self.gate.wait()
        await trio.lowlevel.checkpoint()

    async def call(self, operation, body, request_id, timeout_seconds):
        """Run a service call."""
        fault = self.service_faults.pop(0) if self.service_faults else None
        if fault == 'refuse':
            raise errors.TargetFailedError('no connection')
        self.runs.append(f'{operation} {request_id}')
        await self.gate.wait()
        if fault == 'drop':
            raise errors.TargetFailedError('gone', verdict=Verdict.may_have_run)
        return ServiceAnswer(200, {'done': len(self.runs)})


@define(eq=False)
class Owner:
    """Represent one entry that owns all slots."""

    host: ProgramHost
    operations: ProgramOperations
    placer: DirectPlacer
    ownership: MemoryOwnership


@contextlib.asynccontextmanager
async def owning(logs, targets, snapshot=None, clock=time.time):
    """Run an owner of all slots over the logs until the context exits."""
    snapshot = snapshot or make_snapshot()
    placer = DirectPlacer(snapshot)
    flow = CallFlow(
        snapshot=lambda: snapshot,
        budget_client=UnlimitedBudget(),
        models=ModelCalls(placer, targets),
        services=ServiceCalls(placer, targets),
        clock=clock,
    )
    ownership = MemoryOwnership(logs)
    await ownership.own(0)
    async with trio.open_nursery() as nursery:
        table = SlotTable(ownership, lambda _: 0)
        host = ProgramHost(table, flow, nursery, clock)
        operations = ProgramOperations(
            host,
            flow,
            ProgramOpening(host, clock),
            ProgramEnding(host, clock, lambda program: None),
            nursery,
        )
        yield Owner(host, operations, placer, ownership)
        nursery.cancel_scope.cancel()


@contextlib.contextmanager
def closed(targets):
    """Block calls at the target until the context exits."""
    targets.gate = trio.Event()
    try:
        yield
    finally:
        targets.gate.set()
