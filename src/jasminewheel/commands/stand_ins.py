"""Run one of the stand-ins as a process."""

from pathlib import Path
from typing import Any, Protocol, TypeVar

import trio
from attrs import evolve

from jasminewheel._internal.fakes.app import StandIn
from jasminewheel._internal.http.serving import serve_process
from jasminewheel._internal.observability.logs import start_logging
from jasminewheel._internal.settings.loader import load_settings

_GRACE_SECONDS = 5.0


class ListenSettings(Protocol):
    """Set where a stand-in listens."""

    host: str
    port: int
    port_file: str


SettingsT = TypeVar('SettingsT', bound=ListenSettings)


def read_settings(
    kind: type[SettingsT], path: Path | None, **overrides: Any
) -> SettingsT:
    """Return the file's settings, with the arguments that were given."""
    settings = load_settings(path, kind) if path else kind()
    given = {
        name: value for name, value in overrides.items() if value is not None
    }
    return evolve(settings, **given)


def run_stand_in(
    member: str, stand_in: StandIn, settings: ListenSettings
) -> None:
    """Serve the stand-in until SIGTERM or SIGINT."""
    start_logging(member)
    trio.run(_serve, stand_in, settings)


async def _serve(stand_in: StandIn, settings: ListenSettings) -> None:
    port_file = Path(settings.port_file) if settings.port_file else None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stand_in.run)
        await serve_process(
            stand_in.app,
            settings.host,
            settings.port,
            port_file,
            grace_seconds=_GRACE_SECONDS,
        )
        nursery.cancel_scope.cancel()
