"""Build the HTTP application of a fake service."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from attrs import frozen
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.faults import DropMiddleware, Faults

View = Callable[..., Awaitable[Any]]
_JSON = 'application/json'


class StandIn(Protocol):
    """Represent a fake service: an application and its background work."""

    app: QuartTrio

    async def run(self) -> None:
        """Run the background work until cancelled."""


@frozen
class Route:
    """Bind a method and path to a view."""

    method: str
    path: str
    view: View


def make_app(name: str, routes: Iterable[Route], faults: Faults) -> QuartTrio:
    """Return an application with the routes and the fault injection."""
    app = QuartTrio(name)
    app.before_request(faults.before_request)
    app.after_request(faults.after_request)
    app.asgi_app = DropMiddleware(app.asgi_app)
    control = Route('POST', '/control/faults', faults.control)
    for route in (*routes, control):
        app.add_url_rule(
            route.path,
            endpoint=f'{route.method} {route.path}',
            view_func=route.view,
            methods=[route.method],
        )
    return app


async def request_json() -> dict[str, Any]:
    """Return the request's JSON object, or an empty one for anything else."""
    body = await request.get_json(force=True, silent=True)
    return body if isinstance(body, dict) else {}


def error_response(status: int, problem: str) -> Response:
    """Return a JSON response with the status and the problem."""
    response = jsonify({'error': problem})
    response.status_code = status
    response.content_type = _JSON
    return response
