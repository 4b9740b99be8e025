"""Serves the operators' interface: token, routes, errors as JSON."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Final

from lycheelug.errors import UNAUTHORIZED, UNKNOWN_ROUTE, Fault, Peer, Step
from lycheelug.http import Answer, Request, find_header
from lycheelug.operators.faults import fault_answer
from lycheelug.operators.routes import OperatorRequest, find_route

# Imported for the routes that they register.
from lycheelug.operators import (  # noqa: F401  isort: skip
    config_routes,
    fleet_routes,
    job_routes,
    metric_routes,
    sheet_routes,
    trace_routes,
)

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon

__all__ = ["OperatorService"]

BEARER: Final = b"Bearer "


class OperatorService:
    """Handles operators' requests for one daemon."""

    __slots__ = ("_daemon", "_token")

    def __init__(self, daemon: Daemon, token: str) -> None:
        self._daemon = daemon
        self._token = token.encode()

    async def handle(self, request: Request) -> Answer:
        """Return the answer to a request."""
        if not self._authorized(request):
            fault = Fault(UNAUTHORIZED, Step.PARSE, Peer.OPERATOR)
            return fault_answer(fault)
        call = OperatorRequest(request)
        function = find_route(call)
        if function is None:
            detail = f"{call.method} {call.path}"
            return fault_answer(
                Fault(UNKNOWN_ROUTE, Step.PARSE, Peer.OPERATOR, detail)
            )
        return await function(self._daemon, call)

    def _authorized(self, request: Request) -> bool:
        """Compare the token in constant time."""
        if not self._token:
            return True
        given = find_header(request.headers, b"authorization") or b""
        return hmac.compare_digest(given, BEARER + self._token)
