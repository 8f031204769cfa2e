"""Describe the settings of a history process."""

from attrs import field, frozen
from attrs.validators import ge, in_, le

_GIB = 1073741824
_MAX_PORT = 65535
_MIN_COMPACT_SECONDS = 0.01
COMPACT_SECONDS = 10.0


@frozen
class HistorySettings:
    """Represent the settings of a history process.

    `peers` are addresses `ip:port` to ask for the fleet's members while the
    key-value service is unavailable; `quota_bytes` limits the data folder.
    `port_file` receives the peer port once the process serves;
    `advertised_peer` is the address for peers where it differs from the bound
    one.
    """

    member: str
    zone: str
    region: str
    peer_host: str
    peer_port: int = field(validator=[ge(0), le(_MAX_PORT)])
    data_folder: str
    key_file: str
    quota_bytes: int = field(default=10 * _GIB, validator=ge(1))
    compact_seconds: float = field(
        default=COMPACT_SECONDS, validator=ge(_MIN_COMPACT_SECONDS)
    )
    store_url: str = ''
    vms_url: str = ''
    peers: tuple[str, ...] = ()
    port_file: str = ''
    advertised_peer: str = ''
    statsd: str = ''
    trace_file: str = ''
    log_level: str = field(
        default='INFO',
        validator=in_(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
    )

    def peer_address(self, port: int) -> str:
        """Return the address that is advertised to peers."""
        return self.advertised_peer or f'{self.peer_host}:{port}'
