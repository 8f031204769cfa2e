"""Represent programs and calls as bodies of answers."""

from typing import Any

from attrs import asdict

from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.program import Program
from jasminewheel.models.call import CallPhase


def status_body(hosted: HostedProgram, request_id: str) -> dict[str, Any]:
    """Return the phase and verdict of a request."""
    return {
        'request': request_id,
        'phase': call_phase(hosted, request_id).value,
        'verdict': hosted.program.verdict_of(request_id).value,
    }


def call_phase(hosted: HostedProgram, request_id: str) -> CallPhase:
    """Return the phase of a request."""
    program = hosted.program
    unfinished = program.unfinished
    if unfinished and unfinished.request_id == request_id:
        return CallPhase.running
    if request_id in hosted.answers:
        return CallPhase.queued
    if request_id in program.calls:
        return CallPhase.finished
    return CallPhase.unknown


def program_body(program: Program) -> dict[str, Any]:
    """Return the state of a program."""
    return asdict(program.view())


def history_body(program: Program) -> dict[str, Any]:
    """Return the conversation and the calls in their order."""
    calls = [
        {
            'request': call.request_id,
            'target': call.start.target,
            'operation': call.start.operation,
            'verdict': call.verdict.value,
        }
        for call in program.calls.values()
    ]
    return {
        'messages': [asdict(message) for message in program.messages],
        'calls': calls,
    }
