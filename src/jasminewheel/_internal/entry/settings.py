"""Define the settings of an entry process."""

from attrs import field, frozen
from attrs.validators import ge, in_, le, min_len

from jasminewheel._internal.http.operator_keys import OperatorKey

_MAX_PORT = 65535
GRACE_SECONDS = 60.0


@frozen
class EntrySettings:
    """Represent the settings file of an entry process.

    `peers` are addresses `ip:port` of other members, used for discovery while
    the key-value service is unavailable. `advertised_peer` is the address
    announced to peers where it differs from the bound one. `unready_seconds`
    is how long the entry accepts requests after SIGTERM, so that the load
    balancer notices that it is not ready; `grace_seconds` limits how long
    requests in progress may then take. The ports are written to the port
    files once the process serves.
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
        """Return the address announced to peers, given the bound port."""
        return self.advertised_peer or f'{self.peer_host}:{port}'
