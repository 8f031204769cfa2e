"""Perform callers' operations at an in-memory owner."""

import json
from types import MappingProxyType

from program_parts import TEXT

from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    OperationEventKind,
    OperationKind,
)

ASK = MappingProxyType(
    {
        'target': 'helper-models',
        'input': {
            'messages': [{'role': 'user', 'content': 'the kettle hums'}],
            'max_tokens': 100,
        },
    }
)
SEND_TEXT = MappingProxyType(
    {
        'target': 'ticket-desk',
        'operation': 'text',
        'input': {'to': 'owner'},
    }
)
LOOKUP = MappingProxyType({**SEND_TEXT, 'operation': 'lookup'})


def operation(kind, request_id='', body=None, program='p', **fields):
    """Return an operation, by default of the caller cafe."""
    return Operation(
        kind=kind,
        caller=fields.pop('caller', 'cafe'),
        program=program,
        request_id=request_id,
        body=json.dumps(dict(body or {})).encode(),
        **fields,
    )


class Received:
    """Assemble the events that a reader receives."""

    def __init__(self, text=''):
        """Start with the text received before."""
        self.text = text
        self.restarts = 0
        self.done = None

    async def __call__(self, event):
        """Apply an event as a caller does."""
        if event.kind == OperationEventKind.RESTART:
            self.text = ''
            self.restarts += 1
        elif event.kind == OperationEventKind.TOKEN:
            assert event.offset == len(self.text)
            self.text += event.text
        else:
            self.done = event

    @property
    def body(self):
        """Return the body of the last event."""
        return json.loads(self.done.body)


async def perform(owner, kind, request_id='', body=None, **fields):
    """Perform an operation and return the received events."""
    received = Received(TEXT[: fields.get('offset', 0)])
    await owner.operations.perform(
        operation(kind, request_id, body, **fields), received
    )
    return received


async def opened(owner, **fields):
    """Open the program."""
    received = await perform(owner, OperationKind.OPEN, 'open-1', **fields)
    assert received.body == {'program': 'p'}
