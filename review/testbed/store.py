"""A stand-in for the platform's store.

It follows PROTOCOL.md: one counter of versions, atomic conditional calls,
parts that handle one transaction after another, and a feed with a history.
Each daemon gets a port of its own, so that a case can disturb the store for
one daemon only.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from testbed.wire import Call, WireServer

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Store"]

ANSWER_S = 0.004
TX_S = 0.008
ROWS_MAX = 500
Key = tuple[str, str, str]


class Store:
    """Rows in memory, and what a case may do to the answers."""

    def __init__(self) -> None:
        self._rows: dict[Key, tuple[str, int]] = {}
        self._log: list[tuple[int, Key, str | None]] = []
        self._changed = asyncio.Event()
        self._parts: dict[str, asyncio.Lock] = {}
        self._servers: list[WireServer] = []
        self.version = 1
        # By how much all answers are slower than usual.
        self.slow_x = 1.0
        # Called with a call before it is handled; True leaves it unanswered
        # (and, for a transaction, undone).
        self.on_call: Callable[[Call], bool] | None = None
        # Says whether the answer to a transaction is lost.
        self.loses_answer: Callable[[Call], bool] | None = None
        # Called after a transaction was applied, before it is answered.
        self.on_applied: Callable[[Call, dict[str, Any]], None] | None = None

    async def add_port(self, name: str) -> WireServer:
        """Listen on one more port; `name` says for whom."""
        server = WireServer(self._handle, name)
        await server.start()
        self._servers.append(server)
        return server

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.stop()

    # --- The operator and the executors write directly.

    def put(self, table: str, key: str, content: Any) -> int:
        """Write a row of an empty part."""
        data = base64.b64encode(json.dumps(content).encode()).decode()
        self.version += 1
        self._set((table, "", key), data)
        self._notify()
        return self.version

    def drop(self, table: str, key: str) -> None:
        """Remove a row of an empty part."""
        if (table, "", key) in self._rows:
            self.version += 1
            self._unset((table, "", key))
            self._notify()

    def get(self, table: str, key: str) -> Any:
        """Return the decoded row of an empty part, or None."""
        row = self._rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    # --- The interface.

    async def _handle(self, call: Call) -> tuple[int, Any] | None:
        if self.on_call is not None and self.on_call(call):
            return None
        if call.path == "/v1/rows-tx":
            return await self._transact(call)
        await asyncio.sleep(ANSWER_S * self.slow_x)
        query = {
            name: values[0]
            for name, values in parse_qs(
                call.query, keep_blank_values=True
            ).items()
        }
        if call.path == "/v1/rows-get":
            return 200, self._read(query)
        if call.path == "/v1/rows-parts":
            parts = {
                part
                for table, part, _ in self._rows
                if table == query["table"]
            }
            after = query.get("depends_on")
            found = sorted(p for p in parts if after is None or p > after)
            return 200, {"parts": found, "has_more": False}
        if call.path == "/v1/rows-feed":
            return 200, await self._feed(query)
        return 404, {"error": "no such call"}

    async def _transact(self, call: Call) -> tuple[int, Any] | None:
        message = call.message
        entries = [
            *message.get("expected_rev", []),
            *message.get("set_keys", []),
            *message.get("remove", []),
        ]
        part = entries[0]["part"] if entries else ""
        lock = self._parts.setdefault(part, asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S * self.slow_x)
            outcome = self._apply(message)
        if outcome[0] == 200 and self.on_applied is not None:
            self.on_applied(call, message)
        if self.loses_answer is not None and self.loses_answer(call):
            return None
        await asyncio.sleep(ANSWER_S * self.slow_x)
        return outcome

    def _apply(self, message: dict[str, Any]) -> tuple[int, Any]:
        for row in message.get("expected_rev", []):
            known = self._rows.get(_key(row))
            version = known[1] if known is not None else 0
            if version != row["row_version"]:
                found = [
                    self._render(_key(each))
                    for each in message["expected_rev"]
                    if _key(each) in self._rows
                ]
                return 412, {
                    "rows": found,
                    "row_version": self.version,
                    "now_ms": _now_ms(),
                }
        for row in message.get("set_keys", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
        self.version += 1
        for row in message.get("set_keys", []):
            self._set(_key(row), row.get("value") or "")
        for row in message.get("remove", []):
            if _key(row) in self._rows:
                self._unset(_key(row))
        self._notify()
        return 200, {"row_version": self.version, "now_ms": _now_ms()}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        limit = min(ROWS_MAX, int(query.get("limit", ROWS_MAX)))
        keys = sorted(
            key
            for each_table, each_part, key in self._rows
            if each_table == table
            and each_part == part
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        )
        rows = [self._render((table, part, key)) for key in keys[:limit]]
        return {
            "rows": rows,
            "has_more": len(keys) > limit,
            "row_version": self.version,
            "now_ms": _now_ms(),
        }

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["depends_on"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found: dict[Key, tuple[int, str | None]] = {}
            for version, key, value in self._log:
                if version > after and key[0] == table:
                    found[key] = (version, value)
            left = ends_at - time.monotonic()
            if found or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue
        rows: list[dict[str, Any]] = []
        for key, (version, value) in sorted(
            found.items(), key=lambda each: each[1][0]
        ):
            row: dict[str, Any] = {
                "table": key[0],
                "part": key[1],
                "key": key[2],
                "row_version": version,
            }
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = value
            rows.append(row)
        return {
            "rows": rows,
            "row_version": self.version,
            "now_ms": _now_ms(),
        }

    # --- Rows.

    def _set(self, key: Key, value: str) -> None:
        self._rows[key] = (value, self.version)
        self._log.append((self.version, key, value))

    def _unset(self, key: Key) -> None:
        del self._rows[key]
        self._log.append((self.version, key, None))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _render(self, key: Key) -> dict[str, Any]:
        value, version = self._rows[key]
        return {
            "table": key[0],
            "part": key[1],
            "key": key[2],
            "value": value,
            "row_version": version,
        }


def _key(row: dict[str, Any]) -> Key:
    return row["table"], row.get("part", ""), row["key"]


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
