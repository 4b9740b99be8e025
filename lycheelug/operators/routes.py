"""The registry of the operators' routes.

A route is a function of the daemon and the request.  Its path may end with
`/*`, which matches one more path segment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs, unquote, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lycheelug.daemon import Daemon
    from lycheelug.http import Answer, Request

    RouteFunction = Callable[[Daemon, "OperatorRequest"], Awaitable[Answer]]

__all__ = ["ROUTES", "OperatorRequest", "find_route", "route"]

WILDCARD: Final = "/*"


class OperatorRequest:
    """An operator's request with its parsed target."""

    __slots__ = (
        "_query",
        "http_request",
        "method",
        "path",
        "wildcard_segment",
    )

    def __init__(self, http_request: Request) -> None:
        target = urlsplit(http_request.target.decode("latin-1"))
        self.http_request = http_request
        self.method = http_request.method.decode("latin-1")
        self.path = target.path
        # The path segment that the wildcard of the route matches.
        self.wildcard_segment = ""
        self._query = parse_qs(target.query)

    @property
    def body(self) -> bytes:
        """The body of the request."""
        return self.http_request.body

    @property
    def text(self) -> str:
        """The body as text; invalid UTF-8 becomes a replacement character."""
        return self.http_request.body.decode("utf-8", "replace")

    def query_parameter(self, name: str, default: str = "") -> str:
        """Return the last value of a query parameter."""
        return self._query.get(name, [default])[-1]


ROUTES: Final[dict[tuple[str, str], RouteFunction]] = {}


def route(method: str, path: str) -> Callable[[RouteFunction], RouteFunction]:
    """Return a decorator that registers a route."""

    def decorate(function: RouteFunction) -> RouteFunction:
        key = (method, path)
        if key in ROUTES:
            raise ValueError(f"route {method} {path} is already registered")
        ROUTES[key] = function
        return function

    return decorate


def find_route(request: OperatorRequest) -> RouteFunction | None:
    """Return the function for a request, or None."""
    exact = ROUTES.get((request.method, request.path))
    if exact is not None:
        return exact
    parent, _, last = request.path.rpartition("/")
    found = ROUTES.get((request.method, parent + WILDCARD))
    if found is not None:
        request.wildcard_segment = unquote(last)
    return found
