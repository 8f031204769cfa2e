"""Run one member of a fleet and write samples of its cost."""

import json
import resource
import sys
import time
from pathlib import Path

import trio
from attrs import asdict, frozen

from jasminewheel._internal.fleet.fleet import Fleet, FleetAddresses
from jasminewheel._internal.fleet.opening import (
    identity_of,
    open_fleet,
    starting_member,
)
from jasminewheel._internal.membership.member import ENTRY
from jasminewheel._internal.observability.logs import start_logging
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.peer.traffic import TRAFFIC, Traffic
from jasminewheel._internal.process import run_process
from jasminewheel._internal.settings.loader import load_settings

SAMPLE_SECONDS = 0.5
LOCALHOST = '127.0.0.1'
KEY = b'key of the measured fleet'
KIB = 1024


@frozen
class MemberProcessSettings:
    """Configure a measured member."""

    member: str
    store_url: str
    sample_file: str
    peers: tuple[str, ...] = ()


@frozen
class MemberSample:
    """Represent the cost and the view of a member at one time."""

    at: float
    address: str
    live: int
    version: int
    version_at: float
    processor_seconds: float
    resident_bytes: int
    traffic: Traffic


async def run_member(
    settings: MemberProcessSettings,
    stop: trio.Event,
) -> None:
    """Run a fleet member and write samples until stop is set."""
    member = starting_member(
        settings.member,
        f'zone-{settings.member}',
        'east-mids',
        (ENTRY,),
    )
    addresses = FleetAddresses(settings.peers)
    opened = open_fleet(member, KEY, settings.store_url, addresses)
    async with opened as fleet, trio.open_nursery() as nursery:
        server = PeerServer(identity_of(member), KEY, fleet.handlers())
        port = await nursery.start(server.serve, LOCALHOST, 0)
        fleet.set_peer_address(f'{LOCALHOST}:{port}')
        nursery.start_soon(fleet.run)
        sampler = Sampler(fleet, Path(settings.sample_file))
        nursery.start_soon(sampler.run)
        nursery.start_soon(sampler.track_versions)
        await stop.wait()
        await fleet.announce_left()
        nursery.cancel_scope.cancel()


class Sampler:
    """Write samples of this process to a file."""

    def __init__(self, fleet: Fleet, path: Path) -> None:
        """Write samples of the fleet to `path`; no version is in force yet."""
        self.fleet = fleet
        self.path = path
        self.version_at = time.time()

    async def run(self) -> None:
        """Write samples periodically."""
        while True:
            self.write()
            await trio.sleep(SAMPLE_SECONDS)

    async def track_versions(self) -> None:
        """Record the time at which the newest version came into force."""
        version = 0
        while True:
            snapshot = await self.fleet.view.changed(version)
            version = snapshot.version
            self.version_at = time.time()

    def write(self) -> None:
        """Write a sample atomically, so that readers never see part of it."""
        sample = MemberSample(
            at=time.time(),
            address=self.fleet.membership.local_member.peer_address,
            live=len(self.fleet.membership.live()),
            version=self.fleet.view.current.version,
            version_at=self.version_at,
            processor_seconds=time.process_time(),
            resident_bytes=resident_bytes(),
            traffic=TRAFFIC,
        )
        temporary_path = self.path.with_suffix('.new')
        temporary_path.write_text(json.dumps(asdict(sample)), encoding='utf-8')
        temporary_path.replace(self.path)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    fields = Path('/proc/self/statm').read_text(encoding='ascii').split()
    return int(fields[1]) * resource.getpagesize()


def main() -> None:
    """Run the member with the settings file of the first argument."""
    settings = load_settings(Path(sys.argv[1]), MemberProcessSettings)
    start_logging(settings.member, 'WARNING')
    sys.exit(run_process(lambda stop: run_member(settings, stop)))


if __name__ == '__main__':
    main()
