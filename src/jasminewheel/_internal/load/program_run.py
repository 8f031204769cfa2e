"""Run one program of a workload."""

from contextlib import AsyncExitStack
from random import Random

import trio
from attrs import define, evolve, field

from jasminewheel._internal.load.answer import (
    InconsistentAnswerError,
    StreamedAnswer,
    collect_answer,
)
from jasminewheel._internal.load.client import (
    CallerClient,
    NoAnswerError,
    RefusedError,
)
from jasminewheel._internal.load.conversation import Conversation
from jasminewheel._internal.load.records import (
    Outcome,
    Promise,
    Records,
)
from jasminewheel._internal.load.tool_call import ToolCall, call_tool
from jasminewheel._internal.load.workload import (
    ProgramClass,
    SubAgents,
    ToolUse,
)

PROGRAM_ERRORS = (RefusedError, NoAnswerError, InconsistentAnswerError)
_PROBLEM_CHARACTERS = 100


@define(eq=False)
class ProgramRun:
    """Run a program whose steps are drawn from a seeded generator."""

    program_class: ProgramClass
    name: str
    seed: str
    client: CallerClient
    records: Records
    conversation: Conversation
    turns: int = 0
    calls: int = 0
    failure: Exception | None = None
    random: Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the random generator and draw the number of turns."""
        self.random = Random(self.seed)
        self.turns = self.turns or self.program_class.turns.draw(self.random)

    async def run(self) -> None:
        """Run the program and record its outcome."""
        started_at = trio.current_time()
        outcome = Outcome.finished
        try:
            await self._run_whole()
        except PROGRAM_ERRORS as error:
            outcome = _record_failure(self.records, self.name, error)
        record = self.records.class_record(self.program_class)
        record.record_end(outcome, trio.current_time() - started_at)

    async def run_as_child(self, parent: str) -> None:
        """Run as a sub-agent; store the failure for the parent to raise."""
        try:
            await self._run_program(f'/v1/programs/{parent}/children')
        except PROGRAM_ERRORS as error:
            self.failure = error

    async def _run_whole(self) -> None:
        if self.program_class.model:
            await self._run_program('/v1/programs')
            return
        await self._call_tools(list(self.program_class.tools), '/v1/calls')

    async def _run_program(self, path: str) -> None:
        opened = await self.client.post(path, f'{self.name}-open', {})
        program = opened.fields['program']
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._end_program, program)
            while self.turns:
                self.turns -= 1
                await self._run_turn(program)

    async def _end_program(self, program: str) -> None:
        with trio.CancelScope(shield=True):
            await self.client.delete(f'/v1/programs/{program}')

    async def _run_turn(self, program: str) -> None:
        await self._call_model(program)
        uses = [
            tool
            for tool in self.program_class.tools
            if self.random.random() < tool.probability
        ]
        await self._call_tools(uses, f'/v1/programs/{program}/calls')
        if self.random.random() < self.program_class.sub_agents.probability:
            await self._run_sub_agents(program)
        if self.turns:
            await trio.sleep(self.program_class.pause.draw(self.random))

    async def _call_model(self, program: str) -> None:
        messages = self.conversation.next_messages(
            self.program_class, self.random
        )
        max_tokens = self.program_class.answer_tokens.draw(self.random)
        body = {
            'target': self.program_class.target,
            'input': {
                'messages': messages,
                'max_tokens': max_tokens,
                'model': self.program_class.model,
            },
            'repeatable': True,
            'stream': True,
        }
        self.records.new_tokens.update(self.conversation.prompt_blocks())
        answer = await collect_answer(
            self.client, program, self._next_id(), body
        )
        self._check_answer(answer, max_tokens)
        self.conversation.add_answer(answer.text)

    def _check_answer(self, answer: StreamedAnswer, max_tokens: int) -> None:
        self.records.class_record(self.program_class).record_answer(answer)
        expected = self.conversation.expected_answer(max_tokens)
        if answer.text != expected:
            detail = f'{len(answer.text)} of {len(expected)} characters'
            self.records.record_breach(Promise.whole_answer, self.name, detail)

    async def _call_tools(self, uses: list[ToolUse], path: str) -> None:
        while uses:
            call = ToolCall(uses.pop(0), self._next_id())
            reply = await call_tool(self.client, self.records, path, call)
            self.records.class_record(self.program_class).calls += 1
            if call.request_id not in str(reply.fields):
                self.records.record_breach(
                    Promise.whole_answer,
                    call.request_id,
                    'answer to another request',
                )

    async def _run_sub_agents(self, parent: str) -> None:
        count = self.random.randint(1, self.program_class.sub_agents.most)
        children = [self._make_child(number) for number in range(count)]
        async with trio.open_nursery() as nursery:
            for child in children:
                nursery.start_soon(child.run_as_child, parent)
        for child in children:
            if child.failure is not None:
                raise child.failure

    def _make_child(self, number: int) -> 'ProgramRun':
        # A sub-agent starts with the messages of its parent.
        return ProgramRun(
            evolve(self.program_class, sub_agents=SubAgents()),
            f'{self._next_id()}-{number}',
            f'{self.seed}-{self.calls}-{number}',
            self.client,
            self.records,
            self.conversation.fork(),
            self.program_class.sub_agents.turns.draw(self.random),
        )

    def _next_id(self) -> str:
        self.calls += 1
        return f'{self.name}-{self.calls}'


def _record_failure(
    records: Records, request_id: str, error: Exception
) -> Outcome:
    if isinstance(error, InconsistentAnswerError):
        records.record_breach(Promise.whole_answer, request_id, str(error))
    refused = isinstance(error, RefusedError) and error.is_overloaded
    records.count_problem(str(error)[:_PROBLEM_CHARACTERS])
    return Outcome.refused if refused else Outcome.failed
