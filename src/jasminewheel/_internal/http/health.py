"""Serve health and readiness checks for the load balancer."""

from collections.abc import Callable

from quart import Blueprint, Response

_OK = 200
_UNAVAILABLE = 503


def health_blueprint(is_ready: Callable[[], bool]) -> Blueprint:
    """Return the routes of health and readiness."""
    routes = Blueprint('health', __name__)

    async def health() -> Response:  # noqa: WPS430
        return Response('ok\n', content_type='text/plain')

    async def ready() -> Response:  # noqa: WPS430
        status = _OK if is_ready() else _UNAVAILABLE
        text = 'ready\n' if status == _OK else 'not ready\n'
        return Response(text, status=status, content_type='text/plain')

    routes.add_url_rule('/healthz', 'health', health)
    routes.add_url_rule('/readyz', 'ready', ready)
    return routes
