"""A stand-in for the platform's store, as the protocol page describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qsl

from httpd import HttpServer

PAGE_ROWS = 500
Key = tuple[str, str, str]


class Store:
    """Rows in tables; all calls are refused with 503 while `is_down`."""

    def __init__(self) -> None:
        # Value and version by table, part and key; None for removed rows.
        self.rows: dict[Key, tuple[str | None, int]] = {}
        self.version = 0
        self.is_down = False
        # Called with each operator's or executor's write refused or not.
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def set_down(self, is_down: bool) -> None:
        """Refuse all calls, those that wait too, or serve again."""
        self.is_down = is_down
        self._wake()

    def put(self, table: str, key: str, content: Any) -> bool:
        """Write a row as the operator or an executor does."""
        if self.is_down:
            return False
        self.version += 1
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self.rows[table, "", key] = (value, self.version)
        self._wake()
        return True

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        if (table, "", key) in self.rows:
            self.version += 1
            self.rows[table, "", key] = (None, self.version)
            self._wake()

    def get(self, table: str, part: str, key: str) -> Any:
        """Return a row's content, or None."""
        value = self.rows.get((table, part, key), (None, 0))[0]
        return None if value is None else json.loads(base64.b64decode(value))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any] | None:
        path, _, query_text = target.partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        # A call takes a few milliseconds.
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, {}
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            return self._read(query)
        if path == "/v1/rows-parts":
            return self._parts(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call: dict[str, Any]) -> tuple[int, Any]:
        entries = [*call["expected_rev"], *call["set_keys"], *call["remove"]]
        if len(entries) > 100 or len({row["part"] for row in entries}) > 1:
            return 400, {}
        if any(row["table"] in ("op", "servers") for row in call["set_keys"]):
            return 403, {}
        conflict = False
        current = []
        for row in call["expected_rev"]:
            name = (row["table"], row["part"], row["key"])
            value, version = self.rows.get(name, (None, 0))
            if value is None:
                version = 0
            conflict = conflict or version != row.get("row_version", 0)
            if value is not None:
                current.append(_message(name, value, version))
        if conflict:
            return 412, {
                "rows": current,
                "row_version": self.version,
                "now_ms": _now_ms(),
            }
        self.version += 1
        for row in call["set_keys"]:
            name = (row["table"], row["part"], row["key"])
            self.rows[name] = (row.get("value") or "", self.version)
        for row in call["remove"]:
            name = (row["table"], row["part"], row["key"])
            if name in self.rows:
                self.rows[name] = (None, self.version)
        self._wake()
        return 200, {
            "rows": [],
            "row_version": self.version,
            "now_ms": _now_ms(),
        }

    def _read(self, query: dict[str, str]) -> tuple[int, Any]:
        limit = min(PAGE_ROWS, int(query.get("limit") or PAGE_ROWS))
        first, end = query.get("from", ""), query.get("to", "")
        table, part = query["table"], query.get("part", "")
        found = []
        for name, (value, version) in sorted(self.rows.items()):
            if name[:2] != (table, part) or value is None:
                continue
            if name[2] < first or (end and name[2] >= end):
                continue
            found.append(_message(name, value, version))
        return 200, {
            "rows": found[:limit],
            "has_more": len(found) > limit,
            "row_version": self.version,
            "now_ms": _now_ms(),
        }

    def _parts(self, query: dict[str, str]) -> tuple[int, Any]:
        parts = sorted(
            {
                name[1]
                for name, (value, _) in self.rows.items()
                if name[0] == query["table"] and value is not None
            }
        )
        after = query.get("depends_on", "")
        if after:
            parts = [part for part in parts if part > after]
        return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000}

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["depends_on"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if self.is_down:
                return 503, {}
            found = []
            for name, (value, version) in self.rows.items():
                if name[0] == query["table"] and version > after:
                    found.append(_message(name, value, version))
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                found.sort(key=lambda row: row["row_version"])
                return 200, {
                    "rows": found,
                    "row_version": self.version,
                    "now_ms": _now_ms(),
                }
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue


def _message(name: Key, value: str | None, version: int) -> dict[str, Any]:
    message: dict[str, Any] = {
        "table": name[0],
        "part": name[1],
        "key": name[2],
        "row_version": version,
    }
    if value is None:
        message["tombstone"] = True
    else:
        message["value"] = value
    return message


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
