"""Minimal relays on h11, as baselines for the throughput of the daemon.

`streams` is a straightforward relay on asyncio's streams; `protocols` uses
the project's own HTTP client and server.  Both have one upstream address and
forward complete messages.  They have no queues, limits or retries.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from typing import TYPE_CHECKING, Final

import h11

from lycheelug.errors import Peer
from lycheelug.http import (
    Answer,
    HttpClient,
    HttpServer,
    Request,
    end_to_end_headers,
)

if TYPE_CHECKING:
    from asyncio import StreamReader, StreamWriter

__all__ = ["main"]

READ_BYTES: Final = 65_536
TIMEOUT_S: Final = 30.0


class StreamRelay:
    """A relay on streams that reuses idle upstream connections."""

    def __init__(self, upstream: str) -> None:
        host, _, port = upstream.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[
            tuple[h11.Connection, StreamReader, StreamWriter]
        ] = []

    async def start(self) -> int:
        """Listen and return the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Relay the requests of one connection."""
        caller = h11.Connection(h11.SERVER)
        while True:
            message = await _receive(caller, reader)
            if message is None:
                break
            head, body = message
            assert isinstance(head, h11.Request)
            answer, content = await self._forward(head, body)
            _send(caller, writer, answer, content)
            if caller.our_state is not h11.DONE:
                break
            caller.start_next_cycle()
        writer.close()

    async def _forward(
        self, head: h11.Request, body: bytes
    ) -> tuple[h11.Response, bytes]:
        """Forward one request and return the upstream's answer."""
        if self._idle:
            upstream, reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
            upstream = h11.Connection(h11.CLIENT)
        _send(upstream, writer, head, body)
        message = await _receive(upstream, reader)
        assert message is not None
        answer, content = message
        assert isinstance(answer, h11.Response)
        upstream.start_next_cycle()
        self._idle.append((upstream, reader, writer))
        return answer, content


async def _receive(
    connection: h11.Connection, reader: StreamReader
) -> tuple[h11.Request | h11.Response, bytes] | None:
    """Return the next complete message, or None at the end."""
    head: h11.Request | h11.Response | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            return head, body
        else:
            return None


def _send(
    connection: h11.Connection,
    writer: StreamWriter,
    head: h11.Request | h11.Response,
    body: bytes,
) -> None:
    """Write a complete message."""
    data = connection.send(head) or b""
    if body:
        data += connection.send(h11.Data(data=body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    writer.write(data)


class ProtocolRelay:
    """A relay on the project's HTTP client and server."""

    def __init__(self, upstream: str) -> None:
        self._client = HttpClient(upstream, Peer.UPSTREAM)
        self._server = HttpServer(self._handle)

    async def start(self) -> int:
        """Listen and return the port."""
        await self._server.start("127.0.0.1", 0)
        return self._server.port

    async def _handle(self, request: Request) -> Answer:
        """Forward one request and return the upstream's answer."""
        request.headers = end_to_end_headers(request.headers)
        answer: Answer = (
            await self._client.request(request, TIMEOUT_S)
        ).unwrap()
        answer.headers = end_to_end_headers(answer.headers)
        return answer


async def _amain(kind: str, upstream: str) -> None:
    """Serve until the process is killed."""
    make = StreamRelay if kind == "streams" else ProtocolRelay
    port = await make(upstream).start()
    sys.stdout.write(f"listening 127.0.0.1:{port}\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


def main() -> None:
    """Run the relay that the arguments select."""
    parser = argparse.ArgumentParser(description="bare relay")
    parser.add_argument("kind", choices=["streams", "protocols"])
    parser.add_argument("upstream")
    arguments = parser.parse_args()
    asyncio.run(_amain(arguments.kind, arguments.upstream))


if __name__ == "__main__":
    main()
