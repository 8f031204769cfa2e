"""Fake the platform's list of VMs, which lags behind changes."""

from typing import Any

import trio
from attrs import define, field, frozen
from quart import Response, jsonify
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.app import (
    Route,
    make_app,
    error_response,
    request_json,
)
from jasminewheel._internal.fakes.faults import Faults

_FIELDS = frozenset(('member', 'zone', 'address', 'state'))
_STATES = frozenset(('live', 'leaving'))
_BAD_REQUEST = 400


@frozen
class FakeVmsSettings:
    """Configure the address, the initial list and its lag."""

    host: str = '127.0.0.1'
    port: int = 0
    port_file: str = ''
    lag_seconds: float = 2
    vms: tuple[dict[str, str], ...] = ()


@frozen
class _Version:
    visible_at: float
    vms: tuple[dict[str, Any], ...]


@define
class FakeVms:
    """Serve a list of VMs that shows each change after a lag."""

    settings: FakeVmsSettings
    faults: Faults = field(factory=Faults)
    versions: list[_Version] = field(factory=list)
    reads: int = 0
    app: QuartTrio = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the application."""
        self.versions.append(_Version(0, self.settings.vms))
        routes = (
            Route('GET', '/v1/vms', self.list),
            Route('POST', '/control/vms', self.replace),
            Route('GET', '/control/counts', self.counts),
        )
        self.app = make_app(__name__, routes, self.faults)

    async def run(self) -> None:
        """Sleep forever; the fake needs no background work."""
        await trio.sleep_forever()

    async def list(self) -> Response:
        """Return the newest list that is older than the lag."""
        self.reads += 1
        now = trio.current_time()
        visible = [
            version for version in self.versions if version.visible_at <= now
        ]
        return jsonify(visible[-1].vms)

    async def replace(self) -> Response:
        """Replace the list; the change becomes visible after the lag."""
        vms = (await request_json()).get('vms')
        if not isinstance(vms, list) or not all(map(_is_vm, vms)):
            return error_response(_BAD_REQUEST, 'vms is not a list of VMs')
        visible_at = trio.current_time() + self.settings.lag_seconds
        self.versions.append(_Version(visible_at, tuple(vms)))
        return jsonify({'visible_in_seconds': self.settings.lag_seconds})

    async def counts(self) -> Response:
        """Return the number of reads of the list."""
        return jsonify({'reads': self.reads})


def _is_vm(vm: Any) -> bool:
    if not isinstance(vm, dict) or not _FIELDS <= vm.keys():
        return False
    return vm['state'] in _STATES
