"""A small stand-in for the platform, served over HTTP.

It serves an in-memory platform at the paths that `store/codec.py` defines.
Tests and demonstrations control it with these requests:

    POST /faults         replace the faults (see `standins/faults.py`)
    POST /hosts          add hosts to the list, or replace their entries
    POST /late           apply the delayed transactions
    GET  /calls          return how often each call was made

Where a fault loses the answer of a call, its connection is closed.

Run it with `python -m standins.platform --port 0`.  It prints the address
that it listens on, and stops on SIGTERM or SIGINT.
"""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
from returns.result import Failure, Success

from lycheelug.errors import (
    BAD_REQUEST,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    UNKNOWN_ROUTE,
)
from lycheelug.http.messages import Answer, json_answer
from lycheelug.http.server import HttpServer, ServerConnection, ServerLimits
from lycheelug.store.codec import (
    DeltaMessage,
    FaultMessage,
    HostsMessage,
    RebootMessage,
    RowAnswer,
    RowMessage,
    TransactionAnswer,
    TransactionMessage,
    split_path,
)
from lycheelug.store.memory import REBOOT_S
from standins.faults import Faults, FaultyPlatform, RecordingPlatform

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.errors import ErrorCode, Fault
    from lycheelug.http.messages import Request
    from lycheelug.http.server import Handler
    from lycheelug.store.interface import Row

__all__ = ["PlatformServer", "main"]

T = TypeVar("T")

MAX_OBJECT_BYTES: Final = 8 * 1024 * 1024


class _DroppingServer(HttpServer):
    """An HTTP server that can close a connection without an answer."""

    __slots__ = ("_by_peer",)

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        super().__init__(handler, limits)
        self._by_peer: dict[str, ServerConnection] = {}

    def add_connection(self, connection: ServerConnection) -> bool:
        """Register a connection under its peer's address."""
        self._by_peer[connection._peer_name] = connection
        return super().add_connection(connection)

    def remove_connection(self, connection: ServerConnection) -> None:
        """Unregister a connection."""
        self._by_peer.pop(connection._peer_name, None)
        super().remove_connection(connection)

    def drop(self, peer_name: str) -> None:
        """Close the connection of a peer without an answer."""
        connection = self._by_peer.get(peer_name)
        if connection is not None:
            connection.close()


class PlatformServer:
    """The server of the stand-in; tests can run it in their process."""

    __slots__ = ("_platform", "_server")

    def __init__(self, platform: FaultyPlatform | None = None) -> None:
        if platform is None:
            inner = RecordingPlatform(reboot_s=REBOOT_S)
            platform = FaultyPlatform(inner)
        self._platform = platform
        limits = ServerLimits(max_body_bytes=MAX_OBJECT_BYTES)
        self._server = _DroppingServer(self._handle, limits)

    @property
    def platform(self) -> FaultyPlatform:
        """The platform behind the server."""
        return self._platform

    @property
    def address(self) -> str:
        """The address listened on; valid after `start`."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback interface."""
        await self._server.start("127.0.0.1", port)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()

    async def _handle(self, request: Request) -> Answer:
        """Answer one request, or drop its connection."""
        parts, query = split_path(request.target)
        route = (request.method.decode("ascii"), *parts)
        try:
            answer = await self._answer(route, query, request.body)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return _refusal(BAD_REQUEST, repr(error))
        if answer is None:
            self._server.drop(request.peer_name)
            return json_answer(500, None)
        return answer

    async def _answer(
        self, route: tuple[str, ...], query: dict[str, str], body: bytes
    ) -> Answer | None:
        """Return the answer to a request, or None if it is lost."""
        match route:
            case (_, "table", *_):
                return await self._table(route, query, body)
            case (_, "objects", name):
                return await self._object(route[0], name, body)
            case ("POST", "hosts", host, command):
                return await self._host_command(host, command, body)
            case ("GET", "hosts"):
                since = int(query["since"])
                delta = await self._platform.hosts_since(since)
                return _content(delta.map(HostsMessage.of))
        return await self._control(route, body)

    async def _table(
        self, route: tuple[str, ...], query: dict[str, str], body: bytes
    ) -> Answer | None:
        match route:
            case ("GET", "table", "row"):
                row = await self._platform.read(query["key"])
                return _content(row.map(_row_answer))
            case ("GET", "table", "delta"):
                since = int(query["since"])
                delta = await self._platform.read_since(query["prefix"], since)
                return _content(delta.map(DeltaMessage.of))
            case ("POST", "table", "transactions"):
                message = msgspec.json.decode(body, type=TransactionMessage)
                answer = await self._platform.transact(
                    message.to_transaction()
                )
                return _content(answer.map(TransactionAnswer.of))
        return _refusal(UNKNOWN_ROUTE, "/".join(route))

    async def _object(
        self, method: str, name: str, body: bytes
    ) -> Answer | None:
        match method:
            case "PUT":
                return _content(await self._platform.put_object(name, body))
            case "DELETE":
                return _content(await self._platform.delete_object(name))
        match await self._platform.get_object(name):
            case Success(data):
                kind = (b"content-type", b"application/octet-stream")
                return Answer(200, [kind], data)
            case Failure(fault):
                return _fault_answer(fault)
        raise AssertionError

    async def _host_command(
        self, host: str, command: str, body: bytes
    ) -> Answer | None:
        match command:
            case "drain":
                return _content(await self._platform.drain(host))
            case "resume":
                return _content(await self._platform.resume(host))
            case "reboot":
                message = msgspec.json.decode(body, type=RebootMessage)
                answer = await self._platform.reboot(host, message.nonce)
                return _content(answer)
        return _refusal(UNKNOWN_ROUTE, command)

    async def _control(self, route: tuple[str, ...], body: bytes) -> Answer:
        """Answer the requests that control the stand-in, without faults."""
        match route:
            case ("POST", "faults"):
                faults = msgspec.json.decode(body, type=Faults)
                self._platform.set_faults(faults)
                return json_answer(200, faults)
            case ("POST", "hosts"):
                message = msgspec.json.decode(body, type=HostsMessage)
                for host in message.hosts:
                    self._platform.inner.put_host(host.to_entry())
                return json_answer(200, None)
            case ("POST", "late"):
                return json_answer(
                    200, await self._platform.apply_late_writes()
                )
            case ("GET", "calls"):
                return json_answer(200, self._platform.calls)
        return _refusal(UNKNOWN_ROUTE, "/".join(route))


def _row_answer(row: Row | None) -> RowAnswer:
    return RowAnswer(None if row is None else RowMessage.of(row))


def _content(result: Result[T, Fault]) -> Answer | None:
    """Return the answer to a call, or None if a fault loses it."""
    match result:
        case Success(content):
            return json_answer(200, content)
        case Failure(fault):
            return _fault_answer(fault)
    raise AssertionError


def _fault_answer(fault: Fault) -> Answer | None:
    if fault.code in (PLATFORM_UNKNOWN, PLATFORM_UNREACHABLE):
        return None
    return _refusal(fault.code, fault.detail)


def _refusal(code: ErrorCode, detail: str) -> Answer:
    return json_answer(code.status, FaultMessage(code.name, detail))


async def _serve(port: int, reboot_s: float) -> None:
    """Serve until SIGTERM or SIGINT."""
    inner = RecordingPlatform(reboot_s=reboot_s)
    server = PlatformServer(FaultyPlatform(inner))
    await server.start(port)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    print(f"listening {server.address}", flush=True)
    await stop.wait()
    server.stop()


def main(*, port: int = 0, reboot_s: float = REBOOT_S) -> None:
    """Serve an in-memory platform on 127.0.0.1 until SIGTERM.

    Parameters
    ----------
    port
        The port to listen on; 0 selects a free port.
    reboot_s
        How long a host is absent during a reboot, in seconds.

    """
    asyncio.run(_serve(port, reboot_s))


if __name__ == "__main__":
    import cyclopts

    cyclopts.run(main)
