"""Serves the operators' interface: token, routes, errors as JSON."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.errors import UNAUTHORIZED, UNKNOWN_ROUTE, Fault, Peer, Step
from lycheelug.http import Answer, Request, find_header, json_answer
from lycheelug.operators.routes import Call, find_route

# Imported for the routes that they register.
from lycheelug.operators import (  # noqa: F401  isort: skip
    fleet_routes,
    metric_routes,
)

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon

__all__ = ["FaultReply", "OperatorService", "fault_answer"]

BEARER: Final = b"Bearer "
PROBLEM_TYPE: Final = b"application/problem+json"


class FaultReply(msgspec.Struct):
    """A fault as operators get it."""

    code: str
    title: str
    status: int
    detail: str
    step: str
    peer: str
    lines: list[str] = []


def fault_answer(fault: Fault, lines: list[str] | None = None) -> Answer:
    """Return a fault as an answer; `lines` list more than one."""
    reply = FaultReply(
        fault.code.name,
        fault.code.text,
        fault.code.status,
        fault.detail,
        fault.step.value,
        f"{fault.peer} {fault.peer_name}".strip(),
        lines or [],
    )
    return json_answer(fault.code.status, reply, PROBLEM_TYPE)


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
        call = Call(request)
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
