"""A small stand-in for the users' platform: store, hosts and executors.

It implements the platform's published protocol over HTTP on loopback, with
one pool of executors that simulate tasks by waiting, and a configuration
with a queue under `/quick/` and one with placement hints under `/hinted/`.
For tests, `GET /runs` returns all runs that were started, and `GET /hints`
how many calls the placement hint service got and how many starts were rejected
for their tickets.

Run it with `python -m standins.task_platform --executors 3 --work-ms 300`.
It prints the address that it listens on, and stops on SIGTERM or SIGINT.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qsl

import msgspec

from lycheelug.http import Answer, HttpServer, json_answer
from lycheelug.platform.wire import RowMessage, TransactionMessage
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import HistoryGone, RowCommit, RowName
from standins.hint_tickets import HINT, HintTickets
from standins.task_executor import RunRecord, TaskExecutor

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.http import Request
    from lycheelug.store.rows import StoredRow

__all__ = ["HINTED_PREFIX", "POOL", "PREFIX", "TaskPlatform", "main"]

POOL: Final = "quotes"
STANDBY: Final = "spare"
PREFIX: Final = "/quick/"
# The queue whose tasks need tickets.
HINTED_PREFIX: Final = "/hinted/"
ENTRY_REFRESH_S: Final = 0.5
CAPACITY: Final = {"cpu": 4000, "mem_mb": 8192, "gpu": 0}
STATUS_CONFLICT: Final = 412
STATUS_GONE: Final = 410


class TaskPlatform:
    """The store, the host list and the executors, in one process."""

    def __init__(self, executors: int, work_s: float) -> None:
        self._rows = MemoryRows()
        self._runs: list[RunRecord] = []
        self._executors: list[TaskExecutor] = []
        # Each second executor may run the steps of the hinted queue.
        names = [f"x{number}" for number in range(executors)]
        self._tickets = HintTickets(set(names[::2]))
        for executor_id in names:
            self._executors.append(
                TaskExecutor(executor_id, work_s, self._runs, self._tickets)
            )
        self._server = HttpServer(self._handle)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Start the server and the executors; return the address."""
        await self._server.start("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        for executor in self._executors:
            await executor.start()
            self._tasks.append(loop.create_task(executor.run()))
        await self._put("op", "config", _configuration())
        self._tasks.append(loop.create_task(self._refresh_entries()))
        return f"127.0.0.1:{self._server.port}"

    def stop(self) -> None:
        """Stop the server and the executors."""
        for task in self._tasks:
            task.cancel()
        for executor in self._executors:
            executor.stop()
        self._server.stop()

    async def _refresh_entries(self) -> None:
        """Rewrite the executors' entries as heartbeats until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            for executor in self._executors:
                entry = {
                    "service": POOL,
                    "address": executor.address,
                    "zone": "z1",
                    "state": "ready",
                    "seq_no": sequence,
                    "born": executor.born_ms,
                    "machine": f"h-{executor.executor_id}",
                    "labels": ["a", "r1"],
                    "capacity": CAPACITY,
                }
                await self._put("servers", executor.executor_id, entry)
            await asyncio.sleep(ENTRY_REFRESH_S)

    async def _put(self, table: str, key: str, value: object) -> None:
        """Write a row without conditions."""
        data = msgspec.json.encode(value)
        await self._rows.commit("", {}, {RowName(table, key): data})

    async def _handle(self, request: Request) -> Answer:
        """Answer one call."""
        path, _, query_string = request.target.decode("latin-1").partition("?")
        query = dict(parse_qsl(query_string, keep_blank_values=True))
        if path == "/v1/rows-tx":
            return await self._transact(request)
        if path == "/v1/rows-get":
            found = await self._rows.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("to", ""),
            )
            rows = found.unwrap()
            return _rows_answer(rows.rows, rows.version)
        if path == "/v1/rows-parts":
            parts = await self._rows.parts(query["table"])
            return json_answer(200, {"parts": parts.unwrap()})
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/machines":
            return json_answer(200, {"machines": self._hosts()})
        if path == "/v1/advise":
            return await self._tickets.advise(request)
        if path == "/hints":
            tickets = self._tickets
            return json_answer(
                200, {"calls": tickets.calls, "rejected": tickets.rejected}
            )
        if path == "/runs":
            data = msgspec.json.encode(self._runs)
            return Answer(200, [], data)
        return json_answer(404, {"error": "no such call"})

    async def _transact(self, request: Request) -> Answer:
        """Apply a transaction and return its answer."""
        message = msgspec.json.decode(request.body, type=TransactionMessage)
        entries = [*message.expected_rev, *message.set_keys, *message.remove]
        part = entries[0].part if entries else ""
        expected: dict[RowName, int] = {}
        writes: dict[RowName, bytes | None] = {}
        for row in message.expected_rev:
            expected[RowName(row.table, row.key)] = row.row_version or 0
        for row in message.set_keys:
            writes[RowName(row.table, row.key)] = row.value or b""
        for row in message.remove:
            writes[RowName(row.table, row.key)] = None
        outcome = (await self._rows.commit(part, expected, writes)).unwrap()
        if isinstance(outcome, RowCommit):
            return _rows_answer([], outcome.version)
        rows = list(outcome.rows.values())
        return _rows_answer(rows, 0, STATUS_CONFLICT)

    async def _feed(self, query: dict[str, str]) -> Answer:
        """Wait for changes of a table."""
        fed = await self._rows.feed(
            query["table"],
            int(query["depends_on"]),
            int(query["wait_ms"]) / 1000,
        )
        changes = fed.unwrap()
        if isinstance(changes, HistoryGone):
            return json_answer(STATUS_GONE, {"error": "history is gone"})
        return _rows_answer(changes.rows, changes.version)

    def _hosts(self) -> list[dict[str, Any]]:
        """Return the list of hosts."""
        return [
            {
                "machine": f"h-{executor.executor_id}",
                "pool": POOL,
                "state": "up",
                "zone": "z1",
                "capacity": CAPACITY,
                "id": executor.executor_id,
            }
            for executor in self._executors
        ]


def _rows_answer(
    rows: Sequence[StoredRow], version: int, status: int = 200
) -> Answer:
    """Return an answer with rows in the platform's format."""
    messages = [
        RowMessage(
            row.table,
            row.part,
            row.key,
            row.value,
            row.version,
            row.value is None,
        )
        for row in rows
    ]
    return json_answer(status, {"rows": messages, "row_version": version})


def _configuration() -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "quick",
                "host": "",
                "path_prefix": PREFIX,
                "service": POOL,
                "slo_ms": 600,
                "max_attempts": 2,
                "stretch": 1.6,
            },
            {
                "name": "hinted",
                "host": "",
                "path_prefix": HINTED_PREFIX,
                "service": POOL,
                "slo_ms": 600,
                "max_attempts": 2,
                "stretch": 1.6,
                "hint": HINT,
            },
        ],
        "services": [{"name": POOL}, {"name": STANDBY, "standby": True}],
    }


async def _serve(executors: int, work_s: float) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    platform = TaskPlatform(executors, work_s)
    address = await platform.start()
    sys.stdout.write(f"listening {address}\n")
    sys.stdout.flush()
    await stopping.wait()
    platform.stop()


def main() -> None:
    """Run the stand-in until a signal asks it to stop."""
    parser = argparse.ArgumentParser(prog="task_platform")
    parser.add_argument("--executors", type=int, default=3)
    parser.add_argument("--work-ms", type=int, default=300)
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.executors, arguments.work_ms / 1000))


if __name__ == "__main__":
    main()
