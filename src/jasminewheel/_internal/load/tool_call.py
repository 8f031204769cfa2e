"""Call a plain service and note what the caller was told."""

from attrs import frozen

from jasminewheel._internal.load.client import (
    CallerClient,
    NoAnswerError,
    RefusedError,
    Reply,
)
from jasminewheel._internal.load.records import NonRepeatableCall, Records
from jasminewheel._internal.load.workload import ToolUse
from jasminewheel.models.verdict import Verdict


@frozen
class ToolCall:
    """Hold one call of a tool and its identifier."""

    tool: ToolUse
    request_id: str

    def body(self) -> dict[str, object]:
        """Return the request's body."""
        return {
            'target': self.tool.target,
            'operation': self.tool.operation,
            'input': {'order': self.request_id},
            'repeatable': self.tool.repeatable,
        }


async def call_tool(
    client: CallerClient, records: Records, path: str, call: ToolCall
) -> Reply:
    """Return the answer; note the verdict of a call that runs once."""
    verdict = Verdict.may_have_run
    try:
        reply = await client.post(path, call.request_id, call.body())
    except RefusedError as refusal:
        verdict = refusal.verdict
        raise
    except NoAnswerError:
        raise
    else:
        verdict = Verdict.ran
    finally:
        if not call.tool.repeatable:
            records.once_calls.append(
                NonRepeatableCall(call.request_id, verdict)
            )
    return reply
