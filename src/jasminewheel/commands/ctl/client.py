"""Send requests to the operator API of an entry."""

from pathlib import Path
from typing import Any, Self

import httpx

from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode, exit_code_for

TIMEOUT_SECONDS = 90.0
_BASE = '/apis/v1'


def read_key(path: Path) -> str:
    """Read the operator's key; raise CommandError if it is unreadable."""
    try:
        return path.read_text(encoding='utf-8').strip()
    except OSError as error:
        raise CommandError(
            f'cannot read the key file: {error}',
            ExitCode.usage,
            remedy='pass a readable file with --key-file',
        ) from error


class OperatorClient:
    """Send requests to an entry, authenticated by the operator's key."""

    def __init__(self, server: str, key: str) -> None:
        """Create a client of the entry at a URL."""
        self.server = server
        self.http = httpx.Client(
            base_url=server,
            timeout=TIMEOUT_SECONDS,
            headers={'Authorization': f'Bearer {key}'},
        )

    def __enter__(self) -> Self:
        """Return the client; connections are opened by requests."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Close all connections."""
        self.http.close()

    def get(self, path: str, **query: Any) -> Any:
        """Return the JSON document at a path."""
        return self.request('GET', path, params=query)

    def post(self, path: str, body: Any) -> Any:
        """Send a JSON body and return the JSON response."""
        return self.request('POST', path, json=body)

    def delete(self, path: str, **query: Any) -> Any:
        """Delete the resource at a path and return the JSON response."""
        return self.request('DELETE', path, params=query)

    def request(self, method: str, path: str, **options: Any) -> Any:
        """Return the JSON response; raise CommandError for an error status."""
        try:
            answer = self.http.request(method, f'{_BASE}/{path}', **options)
        except httpx.HTTPError as error:
            raise CommandError(
                f'request to {self.server} failed: {error}',
                ExitCode.unreachable,
                remedy='pass the URL of another entry with --server',
            ) from error
        if answer.is_error:
            raise refusal(answer)
        return answer.json()


def refusal(answer: httpx.Response) -> CommandError:
    """Return the error that describes an error response."""
    try:
        problem = answer.json()
    except ValueError:
        problem = {}
    return CommandError(
        problem.get('detail') or answer.text,
        exit_code_for(answer.status_code),
        remedy=problem.get('remedy', ''),
        problem=problem,
    )
