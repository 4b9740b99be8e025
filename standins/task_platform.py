"""A small stand-in for the users' platform: store, hosts and executors.

It implements the platform's published protocol over HTTP on loopback, with
one pool of executors that simulate tasks by waiting, and a configuration
with a queue under `/quick/` and one with placement hints under `/hinted/`.
For tests, `GET /runs` returns all runs that were started, and `GET /hints`
how many calls the placement hint service got and how many starts were rejected
for their tickets.  `POST /restart`, `POST /cut` and `POST /late-calls` disturb
executors (see `ExecutorFault`).  Restarts are to be shorter than the silence
after which an entry is removed, as entries stay.

Run it with `python -m standins.task_platform --executors 3 --work-ms 300`.
`--seed` sets what is random in the faults.
It prints the address that it listens on, and stops on SIGTERM or SIGINT.
"""

from __future__ import annotations

import argparse
import asyncio
import random
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
from standins.incarnation import SimulatedWork
from standins.task_executor import TaskExecutor

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.http import Request
    from lycheelug.store.rows import StoredRow
    from standins.run_records import RunRecord

__all__ = [
    "HINTED_PREFIX",
    "POOL",
    "PREFIX",
    "ExecutorFault",
    "TaskPlatform",
    "main",
]

POOL: Final = "quotes"
STANDBY: Final = "spare"
PREFIX: Final = "/quick/"
# The queue whose tasks need tickets.
HINTED_PREFIX: Final = "/hinted/"
ENTRY_REFRESH_S: Final = 0.5
CAPACITY: Final = {"cpu": 4000, "mem_mb": 8192, "gpu": 0}
STATUS_CONFLICT: Final = 412
STATUS_GONE: Final = 410
STATUS_NO_CONTENT: Final = 204
# The paths of the calls that disturb executors.
FAULTS: Final = ("/restart", "/cut", "/late-calls")


class ExecutorFault(msgspec.Struct):
    """The body of a call that disturbs executors; 204 once it is over."""

    executors: list[str]
    # The pause of a restart, or the time of a cut.
    duration_s: float = 0.0
    # Whether a restart closes no connections and calls wait meanwhile.
    is_dark: bool = False
    # The share of calls that are carried out late, from now on.
    share: float = 0.0


class TaskPlatform:
    """The store, the host list and the executors, in one process."""

    def __init__(
        self,
        executors: int,
        work: SimulatedWork,
        seed: int = 0,
        has_standby: bool = True,
        max_attempts: int = 2,
    ) -> None:
        # Whether there is a pool of hosts that are off.
        self._has_standby = has_standby
        # How many runs of a task may fail.
        self._max_attempts = max_attempts
        self._rows = MemoryRows()
        self._runs: list[RunRecord] = []
        self._executors: list[TaskExecutor] = []
        # Each second executor may run the steps of the hinted queue.
        names = [f"x{number}" for number in range(executors)]
        self._tickets = HintTickets(set(names[::2]))
        for executor_id in names:
            executor = TaskExecutor(
                executor_id,
                work,
                self._runs,
                self._tickets,
                random.Random(f"{seed} {executor_id}"),
            )
            self._executors.append(executor)
        self._server = HttpServer(self._handle)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Start the server and the executors; return the address."""
        await self._server.start("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        for executor in self._executors:
            await executor.start()
            self._tasks.append(loop.create_task(executor.run()))
        await self._put(
            "op",
            "config",
            _configuration(self._has_standby, self._max_attempts),
        )
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
        while True:
            for executor in self._executors:
                if executor.is_up:
                    await self._write_entry(executor)
            await asyncio.sleep(ENTRY_REFRESH_S)

    async def _write_entry(self, executor: TaskExecutor) -> None:
        """Write an executor's entry."""
        entry = {
            "service": POOL,
            "address": executor.address,
            "zone": "z1",
            "state": "ready",
            "seq_no": executor.next_sequence(),
            "born": executor.born_ms,
            "machine": f"h-{executor.executor_id}",
            "labels": ["a", "r1"],
            "capacity": CAPACITY,
        }
        await self._put("servers", executor.executor_id, entry)

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
        if path in FAULTS:
            fault = msgspec.json.decode(request.body, type=ExecutorFault)
            await self._disturb(path, fault)
            return Answer(STATUS_NO_CONTENT, [], b"")
        return json_answer(404, {"error": "no such call"})

    async def _disturb(self, path: str, fault: ExecutorFault) -> None:
        """Disturb executors, until that is over."""
        async with asyncio.TaskGroup() as group:
            for executor in self._executors:
                if executor.executor_id not in fault.executors:
                    continue
                if path == "/restart":
                    group.create_task(self._restart(executor, fault))
                elif path == "/cut":
                    group.create_task(executor.cut_off(fault.duration_s))
                else:
                    executor.late_share = fault.share

    async def _restart(
        self, executor: TaskExecutor, fault: ExecutorFault
    ) -> None:
        """Restart an executor, which writes its entry at once."""
        await executor.restart(fault.duration_s, fault.is_dark)
        await self._write_entry(executor)

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
                "state": "up" if executor.is_reported_up else "down",
                "zone": "z1",
                "capacity": CAPACITY,
                "id": executor.executor_id if executor.is_reported_up else "",
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


def _configuration(has_standby: bool, max_attempts: int) -> dict[str, Any]:
    """Return the operator's configuration."""
    services: list[dict[str, Any]] = [{"name": POOL}]
    if has_standby:
        services.append({"name": STANDBY, "standby": True})
    return {
        "version": 1,
        "routes": [
            {
                "name": "quick",
                "host": "",
                "path_prefix": PREFIX,
                "service": POOL,
                "slo_ms": 600,
                "max_attempts": max_attempts,
                "stretch": 1.6,
            },
            {
                "name": "hinted",
                "host": "",
                "path_prefix": HINTED_PREFIX,
                "service": POOL,
                "slo_ms": 600,
                "max_attempts": max_attempts,
                "stretch": 1.6,
                "hint": HINT,
            },
        ],
        "services": services,
    }


async def _serve(platform: TaskPlatform) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
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
    parser.add_argument("--work-spread", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--max-attempts", type=int, default=2)
    parser.add_argument("--no-standby", action="store_true")
    arguments = parser.parse_args()
    work = SimulatedWork(arguments.work_ms / 1000, arguments.work_spread)
    platform = TaskPlatform(
        arguments.executors,
        work,
        arguments.seed,
        not arguments.no_standby,
        arguments.max_attempts,
    )
    asyncio.run(_serve(platform))


if __name__ == "__main__":
    main()
