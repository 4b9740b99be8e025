"""Serves the operators' HTTP interface: authorization and routing."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Final

from lycheelug.errors import UNAUTHORIZED, UNKNOWN_ROUTE, Fault, Peer, Step
from lycheelug.http import Answer, Request, find_header
from lycheelug.operators.faults import fault_answer
from lycheelug.operators.routes import OperatorRequest, find_route

# Imported because they register their routes.
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
    """Handles operators' requests to one daemon."""

    __slots__ = ("_daemon", "_token")

    def __init__(self, daemon: Daemon, token: str) -> None:
        self._daemon = daemon
        self._token = token.encode()

    async def handle(self, request: Request) -> Answer:
        """Return the answer to a request."""
        if not self._is_authorized(request):
            fault = Fault(UNAUTHORIZED, Step.PARSE, Peer.OPERATOR)
            return fault_answer(fault)
        operator_request = OperatorRequest(request)
        function = find_route(operator_request)
        if function is None:
            detail = f"{operator_request.method} {operator_request.path}"
            return fault_answer(
                Fault(UNKNOWN_ROUTE, Step.PARSE, Peer.OPERATOR, detail)
            )
        return await function(self._daemon, operator_request)

    def _is_authorized(self, request: Request) -> bool:
        """Whether the request has the token; compared in constant time."""
        if not self._token:
            return True
        given = find_header(request.headers, b"authorization") or b""
        return hmac.compare_digest(given, BEARER + self._token)
