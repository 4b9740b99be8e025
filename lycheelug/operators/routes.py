"""The registry of the operators' resources.

A route is a function of the daemon and the request.  Its path may end with
`/*`, which stands for one more segment.
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
    """One operator's request, taken apart."""

    __slots__ = ("_query", "method", "path", "request", "tail")

    def __init__(self, request: Request) -> None:
        target = urlsplit(request.target.decode("latin-1"))
        self.request = request
        self.method = request.method.decode("latin-1")
        self.path = target.path
        # The segment that a wildcard stands for.
        self.tail = ""
        self._query = parse_qs(target.query)

    @property
    def body(self) -> bytes:
        """The body sent."""
        return self.request.body

    @property
    def text(self) -> str:
        """The body as text; bytes that are not UTF-8 are marked."""
        return self.request.body.decode("utf-8", "replace")

    def query(self, name: str, default: str = "") -> str:
        """Return a query parameter's last value."""
        return self._query.get(name, [default])[-1]


ROUTES: Final[dict[tuple[str, str], RouteFunction]] = {}


def route(method: str, path: str) -> Callable[[RouteFunction], RouteFunction]:
    """Return a decorator that registers a resource."""

    def decorate(function: RouteFunction) -> RouteFunction:
        key = (method, path)
        if key in ROUTES:
            raise ValueError(f"route {method} {path} registered twice")
        ROUTES[key] = function
        return function

    return decorate


def find_route(call: OperatorRequest) -> RouteFunction | None:
    """Return the function of a call, or None."""
    exact = ROUTES.get((call.method, call.path))
    if exact is not None:
        return exact
    parent, _, last = call.path.rpartition("/")
    found = ROUTES.get((call.method, parent + WILDCARD))
    if found is not None:
        call.tail = unquote(last)
    return found
