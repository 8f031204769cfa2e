"""Expose the metrics of a role on the port that the deploy file names."""

import logging

import trio

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.observability.exposition import (
    Gauges,
    metrics_page,
)
from jasminewheel._internal.web.server import WebServer
from jasminewheel.errors import RequestError
from jasminewheel.platform.settings import NodeSettings

_LOGGER = logging.getLogger(__name__)


async def start_metrics(
    nursery: trio.Nursery, settings: NodeSettings, gauges: Gauges
) -> None:
    """Start to serve the metrics of this process."""
    web = WebServer(metrics_page(gauges).answer, log_request_fault)
    await nursery.start(web.serve, settings.ip, settings.metrics_port)


def log_request_fault(fault: RequestError) -> None:
    """Log a request that was refused as malformed, too large or too slow."""
    events.MALFORMED_REQUEST.log(
        _LOGGER, code=fault.code, problem=fault.message
    )
