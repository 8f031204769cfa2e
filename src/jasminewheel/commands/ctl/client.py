"""Talk to the operators' HTTP of an entry."""

from pathlib import Path
from typing import Any, Self

import httpx

from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode, exit_code_for

TIMEOUT_SECONDS = 90.0
_BASE = '/apis/v1'


def read_key(path: Path) -> str:
    """Return the operator's key; raise CommandError if there is none."""
    try:
        return path.read_text(encoding='utf-8').strip()
    except OSError as error:
        raise CommandError(
            f'cannot read the key: {error}',
            ExitCode.usage,
            remedy='name a readable file with --key-file',
        ) from error


class OperatorClient:
    """Send requests with the operator's key."""

    def __init__(self, server: str, key: str) -> None:
        """Keep the URL of an entry and the key."""
        self.server = server
        self.http = httpx.Client(
            base_url=server,
            timeout=TIMEOUT_SECONDS,
            headers={'Authorization': f'Bearer {key}'},
        )

    def __enter__(self) -> Self:
        """Open the connection on demand."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Close the connection."""
        self.http.close()

    def get(self, path: str, **query: Any) -> Any:
        """Return what stands at a path."""
        return self.request('GET', path, params=query)

    def post(self, path: str, body: Any) -> Any:
        """Send a body and return the answer."""
        return self.request('POST', path, json=body)

    def delete(self, path: str, **query: Any) -> Any:
        """Delete what stands at a path."""
        return self.request('DELETE', path, params=query)

    def request(self, method: str, path: str, **options: Any) -> Any:
        """Return the JSON answer; raise CommandError for a refusal."""
        try:
            answer = self.http.request(method, f'{_BASE}/{path}', **options)
        except httpx.HTTPError as error:
            raise CommandError(
                f'{self.server} does not answer: {error}',
                ExitCode.unreachable,
                remedy='name another entry with --server',
            ) from error
        if answer.is_error:
            raise refusal(answer)
        return answer.json()


def refusal(answer: httpx.Response) -> CommandError:
    """Return the error for a refusal."""
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
