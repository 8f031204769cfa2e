"""Read the settings file that the platform writes for a process.

Keys of the file that mislead: Listen.Front is the address for callers,
Listen.Control serves peers that cannot read the store, Bootstrap allows this
process to form the first replica set, FaultTolerance.Machines is the number of
disks that may be lost, and only the first port of PortRange is used.
"""

import math
import os
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

from attrs import field, frozen

from jasminewheel._internal.organisations.organisation import RateTolerance
from jasminewheel._internal.peer.distance import ZoneDistance
from jasminewheel._internal.store.contact import HEARTBEAT_SECONDS
from jasminewheel.errors import SettingsError

FILE_VARIABLE = 'JASMINEWHEEL_NODE_FILE'
# Must be the port that the deploy file names for each role.
METRICS_PORT = 9464
# The smallest VM that the product is meant for.
DEFAULT_MEMORY_MB = 128
# The usual soft limit of a process.
DEFAULT_DESCRIPTORS = 1024
_MEGABYTE = 1048576
_ENTRY_ROLE = 'Front'
_MS_PER_SECOND = 1000
_HEARTBEAT_MS = HEARTBEAT_SECONDS * _MS_PER_SECOND
FieldT = TypeVar('FieldT')


@frozen
class NodeSettings:
    """Represent the settings of one process.

    Addresses have the form HOST:PORT; an empty one is not served.
    """

    vm: str
    ip: str
    zone: str
    zone_regions: Mapping[str, str]
    callers_address: str
    readiness_address: str
    peers_address: str
    seeds: tuple[str, ...]
    peer_port: int
    metrics_port: int
    data_folder: Path | None
    first_start: bool
    grace_seconds: float
    disks_lost: int
    store_address: str
    # Interval of the runners' heartbeats.
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    # Memory that the process may use.
    memory_bytes: int = DEFAULT_MEMORY_MB * _MEGABYTE
    # Descriptors that the process may have open.
    max_descriptors: int = DEFAULT_DESCRIPTORS
    # How long a withdrawn key may be accepted; infinite without such a bound.
    revocation_seconds: float = math.inf
    rate_tolerance: RateTolerance = field(factory=RateTolerance)

    @property
    def peer_address(self) -> str:
        """Return the address at which the product's processes connect."""
        return f'{self.ip}:{self.peer_port}'

    @property
    def distance(self) -> ZoneDistance:
        """Return the round-trip times from this VM to availability zones."""
        return ZoneDistance(self.zone, self.zone_regions)

    def client_addresses(self) -> tuple[str, ...]:
        """Return the addresses for callers and the balancer that are set."""
        configured = (self.callers_address, self.readiness_address)
        return tuple(address for address in configured if address)


@frozen
class _Fields:
    path: Path
    fields: Mapping[str, Any]

    def read(
        self, name: str, convert: Callable[[Any], FieldT], default: Any = None
    ) -> FieldT:
        """Return a converted field; a dot separates a table and its key.

        Raise SettingsError if the field is missing or cannot be converted.
        """
        configured: Any = self.fields
        for part in name.split('.'):
            configured = (
                configured.get(part) if isinstance(configured, dict) else None
            )
        if configured is None:
            configured = default
        if configured is None:
            raise SettingsError(
                f'{self.path}: {name} is missing',
                remedy='see the platform page on settings',
            )
        try:
            return convert(configured)
        except (TypeError, ValueError) as error:
            raise SettingsError(
                f'{self.path}: {name}: {error}',
                remedy='see the platform page on settings',
            ) from error


def load_process_settings() -> NodeSettings:
    """Return the settings of this process, whose file FILE_VARIABLE names.

    Raise SettingsError if the file is missing or wrong.
    """
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise SettingsError(
            f'{FILE_VARIABLE} is not set',
            remedy='set it to the path of the settings file',
        )
    return read_node_settings(Path(path))


def read_node_settings(path: Path) -> NodeSettings:
    """Return the file's settings; raise SettingsError if they are wrong."""
    try:
        fields = _Fields(path, tomllib.loads(path.read_text(encoding='utf-8')))
    except (OSError, ValueError) as error:
        raise SettingsError(
            f'{path}: {error}', remedy='see the platform page on settings'
        ) from error
    folder = fields.read('DataDir', str, default='')
    return NodeSettings(
        vm=fields.read('NodeName', str),
        ip=fields.read('Ip', str),
        zone=fields.read('Zone', str),
        zone_regions=fields.read('Zones', dict, default={}),
        callers_address=fields.read(f'Listen.{_ENTRY_ROLE}', str, default=''),
        readiness_address=fields.read('Listen.Ready', str, default=''),
        peers_address=fields.read('Listen.Control', str, default=''),
        seeds=fields.read('Seeds', tuple, default=()),
        peer_port=fields.read('PortRange', _first_port),
        metrics_port=METRICS_PORT,
        data_folder=Path(folder) if folder else None,
        first_start=fields.read('Bootstrap', bool, default=False),
        grace_seconds=fields.read('Bounds.GraceS', float, default=8),
        disks_lost=fields.read('FaultTolerance.Machines', int, default=1),
        store_address=fields.read('Platform.Address', str),
        heartbeat_seconds=fields.read('HeartbeatMs', _seconds, _HEARTBEAT_MS),
        memory_bytes=fields.read(
            'Limits.MemoryMb', _megabytes, DEFAULT_MEMORY_MB
        ),
        max_descriptors=fields.read(
            'Limits.MaxFds', _positive, DEFAULT_DESCRIPTORS
        ),
        revocation_seconds=_revocation_seconds(fields),
        rate_tolerance=_rate_tolerance(fields),
    )


def _revocation_seconds(fields: _Fields) -> float:
    if not fields.read('Bounds.RevokeStrict', bool, default=False):
        return math.inf
    return fields.read('Bounds.RevokeMs', _seconds)


def _rate_tolerance(fields: _Fields) -> RateTolerance:
    standard = RateTolerance()
    return RateTolerance(
        fields.read('Bounds.QuotaOver', float, standard.share),
        fields.read('Bounds.QuotaSlack', float, standard.calls),
        fields.read('Bounds.QuotaWindowS', float, standard.window_seconds),
    )


def _seconds(configured: Any) -> float:
    return float(configured) / _MS_PER_SECOND


def _megabytes(configured: Any) -> int:
    count = int(configured)
    if count <= 0:
        raise ValueError(f'{count} is no amount of memory in MB')
    return count * _MEGABYTE


def _positive(configured: Any) -> int:
    count = int(configured)
    if count <= 0:
        raise ValueError(f'{count} is not positive')
    return count


def _first_port(configured: Any) -> int:
    return int(configured[0])
