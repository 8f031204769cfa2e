"""Read the caller and the request identifier from a request's headers."""

import re
from hashlib import sha256

from werkzeug.datastructures import Headers

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel.errors import (
    BadRequestError,
    NotFoundError,
    UnauthorizedError,
)
from jasminewheel.models.caller import Caller

_SCHEME = 'bearer'
_REQUEST_ID = re.compile('[A-Za-z0-9._-]{1,128}')
_PROGRAM_ID = re.compile(r'[0-9a-f]{32}(\.[1-9][0-9]{0,5}){0,8}')
_PROGRAM_ID_CHARACTERS = 32
MAX_KEY_CHARACTERS = 512


def authenticate(headers: Headers, snapshot: Snapshot, now: float) -> Caller:
    """Return the caller of the key in the headers; `now` is Unix time.

    Raise UnauthorizedError for a missing, unknown or expired key.
    """
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    key = key.strip()
    is_well_formed = (
        scheme.lower() == _SCHEME and 0 < len(key) <= MAX_KEY_CHARACTERS
    )
    caller = snapshot.caller_by_key(key, now) if is_well_formed else None
    if caller is None:
        raise UnauthorizedError(
            'the key is missing, unknown or expired',
            remedy='send a valid key as Authorization: Bearer <key>',
        )
    return caller


def request_id_of(headers: Headers) -> str:
    """Return the identifier under which the request runs at most once.

    Raise BadRequestError if it is missing or malformed.
    """
    request_id = headers.get('Idempotency-Key', '')
    if not _REQUEST_ID.fullmatch(request_id):
        raise BadRequestError(
            'Idempotency-Key is missing or malformed',
            remedy='send 1 to 128 letters, digits, ".", "_" or "-"',
        )
    return request_id


def check_request_id(request_id: str) -> None:
    """Raise NotFoundError for a malformed request identifier."""
    if not _REQUEST_ID.fullmatch(request_id):
        raise NotFoundError('no such request')


def check_program_id(program_id: str) -> None:
    """Raise NotFoundError for a malformed program identifier."""
    if not _PROGRAM_ID.fullmatch(program_id):
        raise NotFoundError('no such program')


def new_program_id(caller: str, kind: str, request_id: str) -> str:
    """Return the identifier of the program that a request opens.

    It is derived from the request, so that a retry through any entry opens
    the same program.
    """
    text = '\0'.join((caller, kind, request_id))
    return sha256(text.encode()).hexdigest()[:_PROGRAM_ID_CHARACTERS]
