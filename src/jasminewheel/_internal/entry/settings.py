"""Describe the settings of an entry process."""

from attrs import field, frozen
from attrs.validators import ge, in_, le, min_len

from jasminewheel._internal.http.operator_keys import OperatorKey

_MAX_PORT = 65535
GRACE_SECONDS = 60.0


@frozen
class EntrySettings:
    """Hold what an entry process is told at its start.

    `peers` are addresses `ip:port` of other members, asked while the
    key-value service cannot be reached; `advertised_peer` is what peers are
    told, where it is not what is bound. `unready_seconds` is how long the
    entry still accepts requests after SIGTERM, so that the balancer sees that
    it is not ready; `grace_seconds` bounds the requests still in progress.
    The port files receive the ports once the process serves.
    """

    member: str = field(validator=min_len(1))
    zone: str
    region: str
    http_host: str
    http_port: int = field(validator=[ge(0), le(_MAX_PORT)])
    peer_host: str
    peer_port: int = field(validator=[ge(0), le(_MAX_PORT)])
    store_url: str
    key_file: str
    vms_url: str = ''
    peers: tuple[str, ...] = ()
    operator_keys: tuple[OperatorKey, ...] = ()
    unready_seconds: float = field(default=0, validator=ge(0))
    grace_seconds: float = field(default=GRACE_SECONDS, validator=ge(0))
    http_port_file: str = ''
    peer_port_file: str = ''
    advertised_peer: str = ''
    statsd: str = ''
    trace_file: str = ''
    otlp: str = ''
    log_level: str = field(
        default='INFO',
        validator=in_(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
    )

    def peer_address(self, port: int) -> str:
        """Return the address that peers are told."""
        return self.advertised_peer or f'{self.peer_host}:{port}'
