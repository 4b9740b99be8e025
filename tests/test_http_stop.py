"""Tests that a stopping server answers requests that reached its host."""

from __future__ import annotations

import asyncio
import socket

import pytest

from lycheelug.http import Answer, HttpServer, Request

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


async def answer_ok(request: Request) -> Answer:
    return Answer(200, [], b"ok")


def send_request(port: int) -> socket.socket:
    """Connect and send a request before the server's event loop runs again."""
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(REQUEST)
    client.setblocking(False)
    return client


async def read_status(client: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    try:
        data = await asyncio.wait_for(loop.sock_recv(client, 4096), 5)
    except ConnectionResetError:
        return b"reset"
    return data[9:12]


@pytest.mark.parametrize("clients", [1, 40])
def test_connection_in_the_backlog_is_answered_with_503(
    clients: int,
) -> None:
    async def run() -> None:
        server = HttpServer(answer_ok)
        await server.start("127.0.0.1", 0)
        queued_clients = [send_request(server.port) for _ in range(clients)]
        server.stop_accepting()
        for client in queued_clients:
            assert await read_status(client) == b"503"
            client.close()
        server.stop()

    asyncio.run(run())


def test_request_on_an_idle_connection_is_answered_with_503() -> None:
    async def run() -> None:
        server = HttpServer(answer_ok)
        await server.start("127.0.0.1", 0)
        client = send_request(server.port)
        assert await read_status(client) == b"200"
        client.setblocking(True)
        client.sendall(REQUEST)
        client.setblocking(False)
        server.stop_accepting()
        assert await read_status(client) == b"503"
        client.close()
        server.stop()

    asyncio.run(run())


def test_request_before_the_last_close_is_not_reset() -> None:
    """Guards against a reset when the server closes idle connections.

    On a busy machine, a request can arrive just before its idle connection
    is closed.
    """

    async def run() -> None:
        server = HttpServer(answer_ok)
        await server.start("127.0.0.1", 0)
        client = send_request(server.port)
        assert await read_status(client) == b"200"
        server.stop_accepting()
        client.setblocking(True)
        client.sendall(REQUEST)
        client.setblocking(False)
        assert not server.close_idle()
        assert await read_status(client) == b"503"
        client.close()
        async with asyncio.timeout(5):
            while not server.close_idle():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        server.stop()

    asyncio.run(run())


def test_server_is_not_idle_until_its_client_has_disconnected() -> None:
    async def run() -> None:
        server = HttpServer(answer_ok)
        await server.start("127.0.0.1", 0)
        client = send_request(server.port)
        assert await read_status(client) == b"200"
        server.stop_accepting()
        assert not server.is_idle_for(idle_s=60.0)
        client.close()
        async with asyncio.timeout(5):
            while not server.is_idle_for(idle_s=60.0):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        server.stop()

    asyncio.run(run())
