"""Call a plain service and record the verdict that it reported."""

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
    """Represent one call of a tool and its request identifier."""

    tool: ToolUse
    request_id: str

    def body(self) -> dict[str, object]:
        """Return the body of the request."""
        return {
            'target': self.tool.target,
            'operation': self.tool.operation,
            'input': {'order': self.request_id},
            'repeatable': self.tool.repeatable,
        }


async def call_tool(
    client: CallerClient, records: Records, path: str, call: ToolCall
) -> Reply:
    """Return the reply; record the verdict of a non-repeatable call."""
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
