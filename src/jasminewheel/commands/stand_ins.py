"""Run a stand-in of an external service as a process."""

import logging
from functools import partial
from pathlib import Path
from typing import Any, Protocol, TypeVar

import trio
from attrs import evolve

from jasminewheel._internal.events import frame
from jasminewheel._internal.fakes.app import StandIn
from jasminewheel._internal.http.serving import serve_app, write_port
from jasminewheel._internal.observability.logs import start_logging
from jasminewheel._internal.process import run_process
from jasminewheel._internal.settings.loader import load_settings

_LOGGER = logging.getLogger(__name__)
_GRACE_SECONDS = 5.0


class ListenSettings(Protocol):
    """Define where a stand-in listens."""

    host: str
    port: int
    port_file: str


SettingsT = TypeVar('SettingsT', bound=ListenSettings)


def read_settings(
    kind: type[SettingsT], path: Path | None, **overrides: Any
) -> SettingsT:
    """Load the settings; overrides that are not None replace fields."""
    settings = load_settings(path, kind) if path else kind()
    given = {
        name: value for name, value in overrides.items() if value is not None
    }
    return evolve(settings, **given)


def run_stand_in(
    member: str, stand_in: StandIn, settings: ListenSettings
) -> int:
    """Serve the stand-in until SIGTERM or SIGINT; return the exit code."""
    start_logging(member)
    return run_process(partial(serve_stand_in, stand_in, settings))


async def serve_stand_in(
    stand_in: StandIn,
    settings: ListenSettings,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until stop is set; report the bound port."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stand_in.run)
        async with trio.open_nursery() as serving:
            port = await serving.start(
                partial(
                    serve_app,
                    stand_in.app,
                    settings.host,
                    settings.port,
                    shutdown=stop,
                    grace_seconds=_GRACE_SECONDS,
                ),
            )
            if settings.port_file:
                write_port(Path(settings.port_file), port)
            frame.STARTED.log(_LOGGER, host=settings.host, port=port)
            task_status.started(port)
        nursery.cancel_scope.cancel()
