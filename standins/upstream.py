"""A stand-in upstream: an executor with a log of its runs and with faults.

Runs as `python -m standins.upstream --port 0 [--name w1] [--slots 8]` and
prints `listening 127.0.0.1:PORT`.  It answers every request with JSON that
repeats the request's body, so that a test can match answers to requests.
`GET /-/log` returns the runs, `GET /-/seen` the number of requests received,
refused ones included, and `POST /-/faults` sets the faults:

    {"delay_ms": 50, "mode": "late"}

Modes: ok, refuse (503, stated as not run), refuse-closing, fail (500 at
once), truncate, crossed (the previous request's answer), duplicate (the
answer twice), unasked (bytes before any request), close (Connection:
close), drop (no answer after the run), hang, no-echo (no X-Request-Id).
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from typing import Any, Final

import h11
import msgspec

__all__ = ["StandInUpstream", "main"]

READ_BYTES: Final = 65_536
HANG_S: Final = 3600.0


class RunRecord(msgspec.Struct):
    """One run of a request."""

    request_id: str
    key: str
    body: str
    # The pool that the request was sent to.
    pool: str = ""


class Faults(msgspec.Struct):
    """The faults in effect."""

    mode: str = "ok"
    delay_ms: float = 0.0


class StandInUpstream:
    """An executor on loopback."""

    __slots__ = (
        "_in_flight",
        "_last_answer",
        "_server",
        "_slots",
        "_writers",
        "faults",
        "name",
        "peak_in_flight",
        "request_count",
        "runs",
    )

    def __init__(self, name: str = "w", slots: int = 8) -> None:
        self.name = name
        self.faults = Faults()
        self.runs: list[RunRecord] = []
        # Requests received, refused ones included.
        self.request_count = 0
        # The highest number of concurrent requests.
        self.peak_in_flight = 0
        self._slots = slots
        self._in_flight = 0
        self._last_answer = b""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """The port listened on; valid after `start`."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        """The address listened on."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until either side closes it."""
        self._writers.add(writer)
        if self.faults.mode == "unasked":
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        head: h11.Request | None = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
                continue
            if isinstance(event, h11.Request):
                head = event
                continue
            if isinstance(event, h11.Data):
                body += bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                break
            return False
        assert head is not None
        if head.target.startswith(b"/-/"):
            answer = self._control(head, body)
            await self._send(connection, writer, 200, answer, [])
            return connection.our_state is h11.DONE
        return await self._run(connection, writer, head, body)

    def _control(self, head: h11.Request, body: bytes) -> bytes:
        """Answer a control request of a test."""
        if head.target == b"/-/faults":
            self.faults = msgspec.json.decode(body, type=Faults)
            return b"{}"
        if head.target == b"/-/clear":
            self.runs = []
        if head.target == b"/-/seen":
            return msgspec.json.encode(self.request_count)
        return msgspec.json.encode(self.runs)

    async def _run(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        head: h11.Request,
        body: bytes,
    ) -> bool:
        """Run a request under the faults in effect."""
        faults = self.faults
        self.request_count += 1
        headers = dict(head.headers)
        if faults.mode in {"refuse", "refuse-closing"} or (
            self._in_flight >= self._slots
        ):
            extra = [
                (b"lycheelug-outcome", b"not-run"),
                (b"x-request-id", headers.get(b"x-request-id", b"")),
            ]
            if faults.mode == "refuse-closing":
                extra.append((b"connection", b"close"))
            await self._send(connection, writer, 503, b"{}", extra)
            return connection.our_state is h11.DONE
        request_id = headers.get(b"x-request-id", b"").decode()
        key = headers.get(b"idempotency-key", b"").decode()
        pool = headers.get(b"lycheelug-pool", b"").decode()
        text = body.decode("latin-1")
        self.runs.append(RunRecord(request_id, key, text, pool))
        self._in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self._in_flight)
        try:
            if faults.mode != "fail":
                await asyncio.sleep(faults.delay_ms / 1000)
            if faults.mode == "hang":
                await asyncio.sleep(HANG_S)
        finally:
            self._in_flight -= 1
        return await self._answer(connection, writer, request_id, body, faults)

    async def _answer(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        request_id: str,
        body: bytes,
        faults: Faults,
    ) -> bool:
        """Answer a request that ran, as the fault in effect requires."""
        content: dict[str, Any] = {
            "worker": self.name,
            "echo": body.decode("latin-1"),
        }
        data = msgspec.json.encode(content)
        extra = [(b"x-request-id", request_id.encode())]
        if faults.mode == "no-echo":
            extra = []
        if faults.mode == "fail":
            await self._send(connection, writer, 500, b"{}", extra)
            return connection.our_state is h11.DONE
        if faults.mode == "drop":
            return False
        if faults.mode == "truncate":
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(data)
                + data[: len(data) // 2]
            )
            await writer.drain()
            return False
        if faults.mode == "crossed" and self._last_answer:
            writer.write(self._last_answer)
            await writer.drain()
            return False
        if faults.mode == "close":
            extra.append((b"connection", b"close"))
        sent = await self._send(connection, writer, 200, data, extra)
        self._last_answer = sent
        if faults.mode == "duplicate":
            writer.write(sent)
            await writer.drain()
        return connection.our_state is h11.DONE

    async def _send(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        extra: list[tuple[bytes, bytes]],
    ) -> bytes:
        """Send an answer and return its bytes."""
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            *extra,
        ]
        parts = [
            connection.send(h11.Response(status_code=status, headers=headers)),
            connection.send(h11.Data(data=body)),
            connection.send(h11.EndOfMessage()),
        ]
        sent = b"".join(part for part in parts if part)
        writer.write(sent)
        await writer.drain()
        return sent


async def _amain(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    upstream = StandInUpstream(arguments.name, arguments.slots)
    upstream.faults.delay_ms = arguments.delay_ms
    await upstream.start(arguments.port)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    sys.stdout.write(f"listening {upstream.address}\n")
    sys.stdout.flush()
    await stopped.wait()
    upstream.stop()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description="stand-in upstream")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="w")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    asyncio.run(_amain(parser.parse_args()))


if __name__ == "__main__":
    main()
