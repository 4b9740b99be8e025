"""A minimal HTTP/1.1 server and client, for the stand-ins only."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ["Call", "Handler", "WireServer", "call"]


class Call:
    """One request as a stand-in sees it."""

    __slots__ = (
        "body",
        "headers",
        "method",
        "on_answered",
        "path",
        "query",
        "server",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        server: WireServer,
    ) -> None:
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.server = server
        # Called at once when the answer was sent.
        self.on_answered: Callable[[], None] | None = None

    @property
    def message(self) -> dict[str, Any]:
        """The decoded body."""
        return json.loads(self.body) if self.body else {}


# A handler returns the status and the content.  None leaves the call
# unanswered: its channel stays open and silent.
Handler = Callable[[Call], Awaitable[tuple[int, Any] | None]]


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers of a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class WireServer:
    """A server on a loopback address."""

    def __init__(self, handler: Handler, name: str = "") -> None:
        self.name = name
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on a free port, or on a given one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 24
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and break all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve_calls(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def _serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one channel, one after the other."""
        while True:
            head = await _read_head(reader)
            if head is None:
                return
            line, headers = head
            method, target, _ = line.split(" ", 2)
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length) if length else b""
            received = Call(method, target, headers, body, self)
            answer = await self._handler(received)
            if answer is None:
                # The channel is silent until the peer gives up.
                await reader.read(1)
                return
            status, content = answer
            data = json.dumps(content).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\n"
                f"content-type: application/json\r\n"
                f"content-length: {len(data)}\r\n\r\n".encode()
                + data
            )
            if received.on_answered is not None:
                received.on_answered()
            await writer.drain()


async def call(
    address: str,
    method: str,
    target: str,
    content: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any] | None:
    """Make a call on a new channel; None if it gets no answer in time."""
    host, _, port = address.rpartition(":")
    body = b"" if content is None else json.dumps(content).encode()
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Content-Length: {len(body)}",
        "Content-Type: application/json",
        "Connection: close",
    ]
    known = {"Host": address, **(headers or {})}
    lines += [f"{name}: {value}" for name, value in known.items()]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            head = await _read_head(reader)
            if head is None:
                return None
            line, answered = head
            length = int(answered.get("content-length", "0"))
            received = await reader.readexactly(length) if length else b""
            return int(line.split(" ")[1]), json.loads(received or b"null")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
