"""The platform's host interface: listing, moves and maintenance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Success

from lycheelug.decoding import decode_json
from lycheelug.errors import (
    PLATFORM_INVALID,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.fleetplan import HostInfo, HostState
from lycheelug.http import HttpClient, ProgressLimits, Request
from lycheelug.jobservice.interfaces import (
    HostAnswer,
    HostControl,
)
from lycheelug.logs import log_change
from lycheelug.platform.wire import (
    MachineMessage,
    MachineName,
    MachinesAnswer,
    OrderAnswer,
)
from lycheelug.store.rows import RowName
from lycheelug.store.traffic import StoreTraffic
from lycheelug.workloads import Resources

if TYPE_CHECKING:
    from typing import Any

    from returns.result import Result

    from lycheelug.errors import ErrorCode
    from lycheelug.store.rows import RowStore

__all__ = ["PlatformHosts"]

# Timeout of an order, and of a page of the host list until its first byte.
CALL_TIMEOUT_S: Final = 1.0
# A page may list many hosts, which a slow host link that is shared by many
# calls carries in several seconds.
PAGE_LIMITS: Final = ProgressLimits(idle_s=1.0, answer_s=10.0)
CONNECT_TIMEOUT_S: Final = 0.7
REUSE_IDLE_S: Final = 4.0
STATUS_TABLE: Final = "status"
# The name under which the bytes of the host list are counted.
HOST_LIST: Final = "hosts"

STATES_BY_NAME: Final = {
    "up": HostState.UP,
    "moving": HostState.MOVING,
    "upkeep": HostState.IN_UPKEEP,
    "down": HostState.DOWN,
}

ANSWERS_BY_REASON: Final = {
    "fence": HostAnswer.FENCED,
    "busy": HostAnswer.BUSY,
    "wave": HostAnswer.REFUSED,
}


class PlatformHosts(HostControl):
    """A client of the platform's host interface."""

    __slots__ = ("_address", "_client", "_store", "_traffic")

    def __init__(
        self,
        address: str,
        store: RowStore,
        traffic: StoreTraffic | None = None,
    ) -> None:
        self._traffic = traffic or StoreTraffic()
        self._address = address
        self._client = HttpClient(
            address, Peer.PLATFORM, connect_s=CONNECT_TIMEOUT_S
        )
        self._store = store

    async def hosts(self) -> Result[list[HostInfo], Fault]:
        """Return all hosts, read page by page."""
        found: list[HostInfo] = []
        token: str | None = ""
        while token is not None:
            query = f"?{urlencode({'page_token': token})}" if token else ""
            headers = [(b"host", self._address.encode())]
            request = Request(b"GET", f"/v1/machines{query}".encode(), headers)
            result = await self._client.request(
                request, CALL_TIMEOUT_S, REUSE_IDLE_S, PAGE_LIMITS
            )
            if isinstance(result, Failure):
                self._traffic.record(HOST_LIST, 0, None)
                fault = result.failure()
                return Failure(self._fault(f"{fault.code.name}"))
            answer = result.unwrap()
            self._traffic.record(HOST_LIST, 0, len(answer.body))
            if answer.status != 200:
                return Failure(self._fault(f"status {answer.status}"))
            decoded = decode_json(answer.body, MachinesAnswer)
            if isinstance(decoded, Failure):
                return Failure(
                    self._fault(decoded.failure(), PLATFORM_INVALID)
                )
            page = decoded.unwrap()
            for raw in page.machines:
                host = _decode_host(raw)
                if isinstance(host, Failure):
                    return Failure(
                        self._fault(host.failure(), PLATFORM_INVALID)
                    )
                found.append(host.unwrap())
            token = page.next_token or None
        return Success(found)

    async def move(
        self, host: str, pool: str, holder: str, token: int
    ) -> HostAnswer:
        """Move a host to another pool, which ends all of its runs."""
        body = {"machine": host, "pool": pool}
        return await self._send_order(b"/v1/machine-move", body, holder, token)

    async def maintain(
        self, host: str, wave: int, holder: str, token: int
    ) -> HostAnswer:
        """Begin the maintenance of a host, which ends all of its runs."""
        body = {"machine": host, "wave": wave}
        return await self._send_order(
            b"/v1/machine-upkeep", body, holder, token
        )

    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        """Publish the progress of a wave; return False if that failed."""
        state = "completed" if is_completed else "running"
        name = RowName(STATUS_TABLE, f"wave/{wave}")
        value = msgspec.json.encode({"state": state})
        result = await self._store.commit("", {}, {name: value})
        return isinstance(result, Success)

    async def _send_order(
        self, path: bytes, body: dict[str, Any], holder: str, token: int
    ) -> HostAnswer:
        """Send an order with the fencing token of the fleet plan's duty."""
        data = msgspec.json.encode(body)
        headers = [
            (b"host", self._address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(data)),
            (b"duty-holder", holder.encode()),
            (b"fencing-token", b"%d" % token),
        ]
        request = Request(b"POST", path, headers, data)
        result = await self._client.request(
            request, CALL_TIMEOUT_S, REUSE_IDLE_S
        )
        if isinstance(result, Failure):
            return HostAnswer.NO_ANSWER
        answer = result.unwrap()
        if answer.status == 200:
            return HostAnswer.DONE
        if answer.status == 429:
            return HostAnswer.THROTTLED
        if answer.status == 400:
            return HostAnswer.REFUSED
        if answer.status != 409:
            return HostAnswer.NO_ANSWER
        reply = decode_json(answer.body, OrderAnswer).value_or(None)
        if reply is None:
            return HostAnswer.NO_ANSWER
        return ANSWERS_BY_REASON.get(reply.reason, HostAnswer.NO_ANSWER)

    def _fault(
        self, detail: str, code: ErrorCode = PLATFORM_UNREACHABLE
    ) -> Fault:
        """Return the fault of a call that returned no host list."""
        return Fault(
            code,
            Step.READ,
            Peer.PLATFORM,
            detail,
            self._address,
        )


def _decode_host(raw: bytes) -> Result[HostInfo, str]:
    """Return a host of the platform's list, or why it can't be used.

    Of an invalid entry, only the name is used: without the host, a wave that
    includes it could look completed.
    """
    decoded = decode_json(raw, MachineMessage)
    if isinstance(decoded, Failure):
        name = decode_json(raw, MachineName)
        if isinstance(name, Failure):
            return Failure(name.failure())
        host = name.unwrap().machine
        log_change("host-unreadable", host=host, error=decoded.failure())
        return Success(HostInfo(host, "", HostState.UNKNOWN))
    message = decoded.unwrap()
    capacity = None
    if message.capacity is not None:
        listed = message.capacity
        capacity = Resources(listed.cpu, listed.mem_mb, listed.gpu)
    return Success(
        HostInfo(
            message.machine,
            message.pool,
            STATES_BY_NAME.get(message.state, HostState.UNKNOWN),
            zone=message.zone,
            labels=tuple(message.labels),
            capacity=capacity,
            executor_id=message.id or "",
        )
    )
