"""A minimal HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[
    [str, str, dict[str, str], bytes],
    Awaitable[tuple[int, Any] | None],
]


class HttpServer:
    """Serves JSON on a loopback port; None as an answer closes the channel."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self._handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                line, headers, body = request
                method, target, _ = line.split(" ", 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    return
                status, content = answer
                data = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read one message: its first line, headers and body."""
    line = (await reader.readline()).decode("latin-1").strip()
    if not line:
        return None
    headers: dict[str, str] = {}
    while True:
        header = (await reader.readline()).decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line, headers, body


async def call(
    address: str,
    method: str,
    target: str,
    content: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any] | None:
    """Send a request on a new channel; None if it wasn't answered."""
    host, _, port = address.rpartition(":")
    data = b"" if content is None else json.dumps(content).encode()
    lines = [f"{method} {target} HTTP/1.1"]
    sent = {
        "host": address,
        "content-type": "application/json",
        "content-length": str(len(data)),
        **(headers or {}),
    }
    lines += [f"{name}: {value}" for name, value in sent.items()]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write("\r\n".join([*lines, "", ""]).encode() + data)
                await writer.drain()
                answer = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    if answer is None:
        return None
    line, _, body = answer
    status = int(line.split(" ")[1])
    try:
        return status, json.loads(body or b"null")
    except ValueError:
        return status, None
