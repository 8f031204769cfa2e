"""Record how calls end."""

from jasminewheel._internal.program.call import finish_record
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel.errors import CallError, UnavailableError
from jasminewheel.models.call import CallOutcome, CallRequest
from jasminewheel.models.verdict import Verdict


async def record_outcome(
    hosted: HostedProgram,
    request: CallRequest,
    outcome: CallOutcome,
    now: float,
) -> None:
    """Append the outcome, so that later owners give the same answer."""
    await hosted.append(finish_record(request.request_id, outcome, now))


def as_may_have_run(error: CallError) -> CallError:
    """Return the error with the verdict "may have run" instead of "not run"."""
    if error.verdict is not Verdict.not_run:
        return error
    return type(error)(
        error.message, verdict=Verdict.may_have_run, remedy=error.remedy
    )


def unexpected_error() -> UnavailableError:
    """Return the error for an unexpected exception."""
    return UnavailableError(
        'the call failed unexpectedly',
        verdict=Verdict.may_have_run,
        remedy='ask for the status of the request',
    )
