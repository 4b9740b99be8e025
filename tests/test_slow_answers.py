"""Tests of answers that arrive over a slow link, part by part."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import msgspec
import pytest

from lycheelug.platform.hosts import PlatformHosts
from lycheelug.platform.store import PlatformRows
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import RowName

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PARTS: Final = 26
# The pause between two parts; all of them take 1.3 s, which is longer than
# a call may take until the first byte of its answer.
PAUSE_S: Final = 0.05

ROWS: Final = {
    "rows": [
        {
            "table": "t",
            "part": "",
            "key": "k",
            "value": "AAAA" * 50_000,
            "row_version": 3,
        }
    ],
    "row_version": 3,
}
MACHINES: Final = {
    "machines": [
        {"machine": f"m-{number}", "pool": "p", "state": "up"}
        for number in range(2_000)
    ]
}


async def with_slow_server(
    content: dict[str, Any], use: Callable[[str], Awaitable[None]]
) -> int:
    """Run `use` with a server's address; return the number of requests."""
    body = msgspec.json.encode(content)
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    size = len(body) // PARTS + 1
    requests: list[bytes] = []

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(head)
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await asyncio.sleep(PAUSE_S)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        await use(f"127.0.0.1:{port}")
    finally:
        server.close()
    return len(requests)


async def read_rows(store: PlatformRows) -> int:
    return len((await store.read("t", "")).unwrap().rows)


async def feed_rows(store: PlatformRows) -> int:
    return len((await store.feed("t", 0, 0.0)).unwrap().rows)  # type: ignore[union-attr]


async def commit_rows(store: PlatformRows) -> int:
    written = await store.commit("", {}, {RowName("t", "k"): b"v"})
    return written.unwrap().version  # type: ignore[union-attr]


# An answer that arrived steadily was discarded when it was longer than the
# link carries within the call's limit, and asked for again without end.
@pytest.mark.parametrize(
    ("call", "expected"),
    [
        pytest.param(read_rows, 1, id="read"),
        pytest.param(feed_rows, 1, id="feed"),
        pytest.param(commit_rows, 3, id="commit"),
    ],
)
def test_answer_of_the_store_that_arrives_slowly_is_received_whole(
    call: Callable[[PlatformRows], Awaitable[int]], expected: int
) -> None:
    async def use(address: str) -> None:
        store = PlatformRows(address)
        assert await call(store) == expected
        store.close()

    assert asyncio.run(with_slow_server(ROWS, use)) == 1


# The fleet owner can't move hosts while the host list is discarded.
def test_host_list_that_arrives_slowly_is_received_whole() -> None:
    async def use(address: str) -> None:
        hosts = PlatformHosts(address, MemoryRows())
        assert len((await hosts.hosts()).unwrap()) == 2_000

    assert asyncio.run(with_slow_server(MACHINES, use)) == 1
