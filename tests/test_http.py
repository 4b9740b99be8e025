"""Tests the HTTP client and server with peers that break the protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Success

from lycheelug.errors import Peer
from lycheelug.http import (
    Answer,
    HttpClient,
    HttpServer,
    Request,
    ServerLimits,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"


async def serve_bytes(reply: bytes) -> tuple[asyncio.Server, str]:
    """Answer the first request of each connection with raw bytes."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        pytest.param(OK, "200", id="whole"),
        pytest.param(OK[:-1], "answer-truncated", id="body-cut"),
        pytest.param(OK[:20], "answer-truncated", id="head-cut"),
        pytest.param(b"", "answer-truncated", id="nothing"),
        pytest.param(b"nonsense\r\n\r\n", "answer-invalid", id="not-http"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\n\r\nhi", "answer-invalid", id="no-length"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi",
            "answer-truncated",
            id="chunks-cut",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\n" + b"x" * 999,
            "answer-too-large",
            id="over-limit",
        ),
    ],
)
def test_answer_is_complete_or_a_fault(reply: bytes, expected: str) -> None:
    async def run() -> str:
        server, address = await serve_bytes(reply)
        client = HttpClient(address, Peer.UPSTREAM, max_answer_bytes=500)
        request = Request(b"GET", b"/", [(b"host", b"a")])
        result = await client.request(request, 5.0)
        server.close()
        client.close()
        match result:
            case Success(answer):
                return str(answer.status)
            case Failure(fault):
                assert fault.maybe_sent
                return str(fault.code.name)
        raise AssertionError

    assert asyncio.run(run()) == expected


def test_refused_connection_reports_that_nothing_was_sent() -> None:
    async def run() -> None:
        server, address = await serve_bytes(OK)
        server.close()
        await server.wait_closed()
        client = HttpClient(address, Peer.UPSTREAM)
        result = await client.request(Request(b"GET", b"/", []), 5.0)
        fault = result.failure()
        assert (fault.code.name, fault.maybe_sent) == ("connect-failed", False)

    asyncio.run(run())


@pytest.mark.parametrize(
    "extra", [OK, b"x", b"HTTP/1.1 "], ids=["answer", "byte", "part"]
)
def test_unsolicited_bytes_never_answer_the_next_request(extra: bytes) -> None:
    async def run() -> None:
        server, address = await serve_bytes(OK + extra)
        client = HttpClient(address, Peer.UPSTREAM)
        request = Request(b"GET", b"/", [(b"host", b"a")])
        result = await client.request(request, 5.0)
        assert result.unwrap().body == b"hi"
        assert client.idle_connections == 0
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("timeouts_s", "delay_s", "expected"),
    [
        pytest.param((0.05, 30.0), 0.2, "200", id="short-then-long"),
        pytest.param((30.0, 0.05), 60.0, "answer-timeout", id="long-first"),
    ],
)
def test_each_exchange_has_its_own_timeout(
    timeouts_s: tuple[float, float], delay_s: float, expected: str
) -> None:
    connections: list[asyncio.StreamWriter] = []

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(delay_s)
        writer.write(OK)

    async def run() -> str:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", Peer.UPSTREAM)
        request = Request(b"GET", b"/", [(b"host", b"a")])
        first = await client.request(request, timeouts_s[0])
        assert first.unwrap().status == 200
        async with asyncio.timeout(10.0):
            second = await client.request(request, timeouts_s[1])
        client.close()
        server.close()
        assert len(connections) == 1
        match second:
            case Success(answer):
                return str(answer.status)
        assert second.failure().maybe_sent
        return str(second.failure().code.name)

    assert asyncio.run(run()) == expected


async def _echo(request: Request) -> Answer:
    return Answer(200, [], request.method + b" " + request.body)


async def with_server(
    limits: ServerLimits,
    exchange: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bytes]
    ],
) -> bytes:
    server = HttpServer(_echo, limits)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        return await exchange(reader, writer)
    finally:
        writer.close()
        server.stop()


HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(HEAD + b"content-length: 2\r\n\r\nhi", b"200", id="ok"),
        pytest.param(b"nonsense\r\n\r\n", b"400", id="malformed"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", b"400", id="no-host"),
        pytest.param(
            HEAD + b"x: " + b"y" * 999 + b"\r\n\r\n", b"431", id="head"
        ),
        pytest.param(
            HEAD + b"content-length: 99\r\n\r\n" + b"x" * 99,
            b"413",
            id="body",
        ),
        pytest.param(HEAD, b"408", id="slow-head"),
        pytest.param(
            HEAD + b"content-length: 2\r\n\r\nh", b"408", id="slow-body"
        ),
    ],
)
def test_server_answers_bad_input_with_a_status(
    sent: bytes, status: bytes
) -> None:
    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(sent)
        return await reader.readline()

    limits = ServerLimits(
        max_head_bytes=500, max_body_bytes=50, receive_s=0.05
    )
    line = asyncio.run(with_server(limits, exchange))
    assert line.split()[1] == status


def test_pipelined_requests_are_answered_in_order() -> None:
    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write((HEAD + b"content-length: 1\r\n\r\na") * 2)
        writer.write(HEAD + b"connection: close\r\n\r\n")
        return await reader.read()

    text = asyncio.run(with_server(ServerLimits(), exchange))
    assert text.count(b"POST a") == 2
    assert text.endswith(b"POST ")


def test_connection_table_is_bounded() -> None:
    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        port = writer.get_extra_info("peername")[1]
        second, other = await asyncio.open_connection("127.0.0.1", port)
        line = await second.readline()
        other.close()
        return line

    limits = ServerLimits(max_connections=1)
    assert b"503" in asyncio.run(with_server(limits, exchange))
