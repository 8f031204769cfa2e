"""Check the clients of engines and services against the stand-ins."""

from types import MappingProxyType

import pytest
import trio
from stand_ins import serving

from jasminewheel._internal.fakes.answers import make_answer
from jasminewheel._internal.fakes.engine import FakeEngine, FakeEngineSettings
from jasminewheel._internal.fakes.tool import FakeTool, FakeToolSettings
from jasminewheel._internal.targets.engine import (
    CacheEvent,
    EngineClient,
    EngineOrder,
    EngineRequest,
    EngineUsage,
    LoadReport,
)
from jasminewheel._internal.targets.prefix import chain
from jasminewheel._internal.targets.service import ServiceClient
from jasminewheel.errors import (
    FencedError,
    NotFoundError,
    TargetFailedError,
)
from jasminewheel.models.verdict import Verdict

MESSAGES = ({'role': 'user', 'content': 'The kettle does not heat. ' * 20},)
BLOCK = chain(MESSAGES)[-1].block
ANSWER = make_answer('guide', MESSAGES, 12)


def request_for(request_id, **changes):
    """Return a request for ANSWER with changed fields."""
    fields = {
        'request_id': request_id,
        'model': 'guide',
        'messages': MESSAGES,
        'max_tokens': 12,
    }
    return EngineRequest(**{**fields, **changes})


async def read(answer):
    """Read an answer; return its text and its usage."""
    text = ''
    usage = None
    async for part in answer:
        if isinstance(part, EngineUsage):
            usage = part
        else:
            assert part.offset == len(text)
            text += part.text
    return text, usage


async def with_engine(check, **settings):
    """Run check with an engine and its client."""
    stand_in = FakeEngine(FakeEngineSettings(**settings))
    async with serving(stand_in) as url, EngineClient(url) as client:
        await check(stand_in, client)


async def check_answers(stand_in, client):
    """Check complete, cached, continued and resumed answers."""
    async with client.generate(request_for('one')) as answer:
        text, usage = await read(answer)
    assert text == ANSWER.text
    assert usage.cached_tokens == 0
    assert usage.finish == ANSWER.finish
    async with client.generate(request_for('two')) as answer:
        text, usage = await read(answer)
    assert usage.prompt_tokens > 0
    assert usage.cached_tokens == usage.prompt_tokens
    continued = request_for('three', continue_text=ANSWER.text[:7])
    async with client.generate(continued) as answer:
        rest = [part async for part in answer]
    texts = [part.text for part in rest if not isinstance(part, EngineUsage)]
    assert ANSWER.text[:7] + ''.join(texts) == ANSWER.text
    async with client.resume('one', 5) as answer:
        resumed = [part async for part in answer]
    assert resumed[0].offset == 5
    assert stand_in.answers.runs == {'one': 1, 'two': 1, 'three': 1}


def test_answers():
    """Answers are complete; a repeated prompt is read from the cache."""
    trio.run(with_engine, check_answers)


async def check_cancel(stand_in, client):
    """Cancel a running answer, and an unknown one."""
    async with client.generate(request_for('one', max_tokens=99)) as answer:
        async for _ in answer:
            usage = await client.cancel('one')
            break
    assert usage.finish == 'cancelled'
    assert not stand_in.batch.running
    with pytest.raises(NotFoundError):
        await client.cancel('unknown')


def test_cancel():
    """A cancelled answer frees its place in the batch."""
    trio.run(with_engine, check_cancel)


async def check_failures(stand_in, client):
    """Check the verdicts of a cut stream and of a refusal."""
    stand_in.faults.install({'mode': 'cut_streams', 'after_tokens': 2})
    with pytest.raises(TargetFailedError) as cut:
        async with client.generate(request_for('one')) as answer:
            await read(answer)
    assert cut.value.verdict is Verdict.may_have_run
    stand_in.faults.install({'mode': 'ok'})
    with pytest.raises(TargetFailedError) as refused:
        async with client.generate(request_for('two', model='no')) as answer:
            await read(answer)
    assert refused.value.verdict is Verdict.not_run
    with pytest.raises(NotFoundError):
        async with client.resume('unknown', 0) as answer:
            await read(answer)


def test_failures():
    """A cut stream may have run; a refusal did not."""
    trio.run(lambda: with_engine(check_failures, models=('guide',)))


async def check_memory(stand_in, client):
    """Check pins, their fences and their expiry, exports and imports."""
    async with client.generate(request_for('one')) as answer:
        await read(answer)
    with pytest.raises(NotFoundError):
        await client.pin('unknown', 1, 1)
    await client.pin(BLOCK, 60, 7)
    with pytest.raises(FencedError):
        await client.pin(BLOCK, 60, 6)
    assert [pin.block for pin in await client.pins()] == [BLOCK]
    export = await client.export_cache(BLOCK)
    assert export.size_bytes == export.tokens * 20_000
    await client.unpin(BLOCK)
    assert not await client.pins()
    await client.pin(BLOCK, 0.05, 8)
    while await client.pins():
        await trio.sleep(0.01)
    other = FakeEngine(FakeEngineSettings())
    async with serving(other) as url, EngineClient(url) as receiver:
        await receiver.import_cache(export)
    assert other.cache.cached_prefix(chain(MESSAGES)) == 1


def test_memory():
    """Pins last until they expire; another engine imports a prefix."""
    trio.run(with_engine, check_memory)


async def check_orders(stand_in, client):
    """Check the fences of orders that load an adapter."""
    await client.order(EngineOrder('load_adapter', 'yard', 5, 'target'))
    with pytest.raises(FencedError):
        await client.order(EngineOrder('load_adapter', 'yard', 4, 'target'))
    with pytest.raises(TargetFailedError):
        await client.order(EngineOrder('odd', 'yard', 5, 'target'))
    assert stand_in.orders.adapters == {'yard'}


def test_orders():
    """An order with an outdated fence is refused."""
    trio.run(lambda: with_engine(check_orders, load_seconds=0))


async def check_unfenced(stand_in, client):
    """Send an outdated order to an engine that does not check fences."""
    await client.order(EngineOrder('role', 'decode', 5, 'target'))
    await client.order(EngineOrder('role', 'prefill', 4, 'target'))
    assert stand_in.orders.role == 'prefill'


def test_unfenced():
    """Some engines ignore fences."""
    trio.run(lambda: with_engine(check_unfenced, is_fenced=False))


async def check_feed(stand_in, client):
    """Read the feed until it has reported a block and the load."""
    async with client.generate(request_for('one')) as answer:
        await read(answer)
    kinds = set()
    async with client.feed(1) as events:
        async for event in events:
            kinds.add(type(event))
            if kinds == {CacheEvent, LoadReport}:
                break


def test_feed():
    """The feed reports blocks and load."""
    trio.run(with_engine, check_feed)


async def check_runs(tool, client):
    """Call once, and read the load."""
    answer = await client.call('text', {'to': 'owner'}, 'one', 5)
    assert answer.status == 200
    assert answer.body['run'] == 1
    async with client.feed() as events:
        async for report in events:
            assert report.running == 0
            break


async def check_fault(tool, client, mode):
    """Check that a call under a fault may have run."""
    tool.faults.install({'mode': mode})
    with pytest.raises(TargetFailedError) as failed:
        await client.call('text', {}, mode, 0.3)
    assert failed.value.verdict is Verdict.may_have_run


async def with_tool(check, *arguments):
    """Run check with a tool and its client."""
    tool = FakeTool(FakeToolSettings())
    async with serving(tool) as url, ServiceClient(url) as client:
        await check(tool, client, *arguments)
    return tool


def test_service():
    """A service answers and reports its load."""
    trio.run(with_tool, check_runs)


FAULTS = MappingProxyType(
    {
        'hang': 0,
        'down': 0,
        'error': 0,
        'hang_after': 1,
        'lose_answers': 1,
    }
)


@pytest.mark.parametrize('mode', FAULTS)
def test_service_fault(mode):
    """A call without an answer may have run, whether it did or not."""
    tool = trio.run(with_tool, check_fault, mode)
    assert tool.runs[mode] == FAULTS[mode]


async def check_gone():
    """Call a service that has stopped."""
    async with serving(FakeTool(FakeToolSettings())) as url:
        gone = ServiceClient(url)
    async with gone:
        with pytest.raises(TargetFailedError) as refused:
            await gone.call('text', {}, 'two', 5)
    assert refused.value.verdict is Verdict.not_run


def test_service_gone():
    """A refused connection proves that a call did not run."""
    trio.run(check_gone)
