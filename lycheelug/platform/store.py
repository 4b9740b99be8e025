"""The row store, implemented by the platform's HTTP interface.

Reads are repeated once if they fail, writes and feeds are not.  The fault of
a failed write says whether the write may have taken effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Success

from lycheelug.decoding import decode_json
from lycheelug.errors import (
    PLATFORM_INVALID,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.http import HttpClient, ProgressLimits, Request
from lycheelug.platform.wire import (
    PartsAnswer,
    RowMessage,
    RowsAnswer,
    TransactionMessage,
)
from lycheelug.store.rows import (
    HistoryGone,
    RowCommit,
    RowConflict,
    RowName,
    RowSet,
    RowStore,
    StoredRow,
)
from lycheelug.store.traffic import StoreTraffic

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from lycheelug.errors import ErrorCode
    from lycheelug.http import Answer

__all__ = ["PlatformRows"]

T = TypeVar("T")

# Timeouts until the first byte of an answer.
#
# A transaction takes a few milliseconds, but may queue behind others of its
# part for up to a second.  If there is no answer after that, the connection
# is dead or the store unreachable.
CALL_TIMEOUT_S: Final = 1.0
# Reads don't queue; on a store that is sixty times slower than usual a read
# takes 0.25 s.
READ_TIMEOUT_S: Final = 0.5
# Added to the time that a feed call waits for a change.
FEED_MARGIN_S: Final = 0.5
# A page of rows may hold 1 MB, and a feed's answer more, which a slow host
# link that is shared by many calls carries in several seconds.
ANSWER_LIMITS: Final = ProgressLimits(idle_s=1.0, answer_s=10.0)
CONNECT_TIMEOUT_S: Final = 0.5
# The store closes connections that are idle for longer than some seconds.
REUSE_IDLE_S: Final = 4.0

# Counts for a transaction without writes, which only proves ownership.
OWNERSHIP_PROOF: Final = RowName("owners", "")

# The rows of a page after a read without an answer.  On a link of 2 Mbit/s, a
# page of the 500 rows that the store returns at most exceeds the time limit.
SHORT_PAGE_ROWS: Final = 100

STATUS_OK: Final = 200
STATUS_GONE: Final = 410
STATUS_CONFLICT: Final = 412


class PlatformRows(RowStore):
    """A client of the platform's store."""

    __slots__ = ("_client", "_headers", "_traffic")

    def __init__(
        self, address: str, traffic: StoreTraffic | None = None
    ) -> None:
        self._traffic = traffic or StoreTraffic()
        self._client = HttpClient(
            address, Peer.PLATFORM, connect_s=CONNECT_TIMEOUT_S
        )
        self._headers = [
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
        ]

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        """Write rows if the expected ones have these versions."""
        message = TransactionMessage([], [], [])
        for name, version in expected.items():
            message.expected_rev.append(
                RowMessage(name.table, part, name.key, row_version=version)
            )
        for name, value in writes.items():
            row = RowMessage(name.table, part, name.key, value)
            if value is None:
                message.remove.append(row)
                continue
            message.set_keys.append(row)
        body = msgspec.json.encode(message)
        subject = next(iter(writes), OWNERSHIP_PROOF).table
        called = await self._call(b"POST", "/v1/rows-tx", subject, body)
        if isinstance(called, Failure):
            return Failure(called.failure())
        answer = called.unwrap()
        if answer.status not in (STATUS_OK, STATUS_CONFLICT):
            return Failure(self._rejected(answer, Step.WRITE))
        rows = decode_json(answer.body, RowsAnswer).value_or(None)
        if rows is None:
            return Failure(
                self._fault(PLATFORM_UNKNOWN, Step.WRITE, "invalid answer")
            )
        if answer.status == STATUS_CONFLICT:
            return Success(RowConflict(_to_rows(rows.rows)))
        return Success(RowCommit(rows.row_version))

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        """Return all rows of a part from key `first` to before `end`."""
        found: list[StoredRow] = []
        version: int | None = None
        short = {"limit": str(SHORT_PAGE_ROWS)}
        query = {"table": table, "part": part}
        while True:
            if first:
                query["from"] = first
            if end:
                query["to"] = end
            read = await self._get("/v1/rows-get", query, RowsAnswer, short)
            if isinstance(read, Failure):
                return Failure(read.failure())
            page = read.unwrap()
            found.extend(_to_rows(page.rows))
            # Rows written between the first and a later page may be missing,
            # so the result is only complete up to the first page's version.
            version = page.row_version if version is None else version
            if not page.has_more or not page.rows:
                return Success(RowSet(found, version))
            if len(page.rows) <= SHORT_PAGE_ROWS:
                query.update(short)
            first = page.rows[-1].key + "\0"

    async def parts(self, table: str) -> Result[list[str], Fault]:
        """Return the parts of a table that have rows."""
        found: list[str] = []
        while True:
            query = {"table": table}
            if found:
                query["depends_on"] = found[-1]
            read = await self._get("/v1/rows-parts", query, PartsAnswer)
            if isinstance(read, Failure):
                return Failure(read.failure())
            page = read.unwrap()
            found.extend(page.parts)
            if not page.has_more or not page.parts:
                return Success(found)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        """Return a table's changes; wait up to `wait_s` for the first one."""
        query = {
            "table": table,
            "depends_on": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        target = f"/v1/rows-feed?{urlencode(query)}"
        called = await self._call(
            b"GET", target, table, timeout_s=wait_s + FEED_MARGIN_S
        )
        if isinstance(called, Failure):
            return Failure(called.failure())
        answer = called.unwrap()
        if answer.status == STATUS_GONE:
            return Success(HistoryGone())
        if answer.status != STATUS_OK:
            return Failure(self._rejected(answer, Step.READ))
        rows = decode_json(answer.body, RowsAnswer).value_or(None)
        if rows is None:
            return Failure(
                self._fault(PLATFORM_INVALID, Step.READ, "invalid answer")
            )
        return Success(RowSet(_to_rows(rows.rows), rows.row_version))

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    # --- Calls.

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        kind: type[T],
        repeated: dict[str, str] | None = None,
    ) -> Result[T, Fault]:
        """Send a read and decode its answer; repeat it once if it fails.

        The first attempt may fail on a connection that the store has closed,
        or because its answer is too long for the link.  The second one adds
        the parameters in `repeated`.
        """
        target = f"{path}?{urlencode(query)}"
        table = query["table"]
        called = await self._call(
            b"GET", target, table, timeout_s=READ_TIMEOUT_S
        )
        if isinstance(called, Failure):
            target = f"{path}?{urlencode({**query, **(repeated or {})})}"
            called = await self._call(
                b"GET", target, table, timeout_s=READ_TIMEOUT_S
            )
        if isinstance(called, Failure):
            return Failure(called.failure())
        answer = called.unwrap()
        if answer.status != STATUS_OK:
            return Failure(self._rejected(answer, Step.READ))
        message = decode_json(answer.body, kind).value_or(None)
        if message is None:
            return Failure(
                self._fault(PLATFORM_INVALID, Step.READ, "invalid answer")
            )
        return Success(message)

    async def _call(
        self,
        method: bytes,
        target: str,
        table: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[Answer, Fault]:
        """Make one call about a table.

        The fault's code is `PLATFORM_UNKNOWN` if the request may have been
        received, and `PLATFORM_UNREACHABLE` otherwise.
        """
        headers = self._headers
        if body:
            length = b"%d" % len(body)
            headers = [*headers, (b"content-length", length)]
        request = Request(method, target.encode(), headers, body)
        result = await self._client.request(
            request, timeout_s, REUSE_IDLE_S, ANSWER_LIMITS
        )
        if isinstance(result, Success):
            answer = result.unwrap()
            self._traffic.record(table, len(body), len(answer.body))
            return Success(answer)
        self._traffic.record(table, len(body), None)
        fault = result.failure()
        code = PLATFORM_UNKNOWN if fault.maybe_sent else PLATFORM_UNREACHABLE
        detail = f"{fault.code.name}: {fault.detail}"
        return Failure(self._fault(code, fault.step, detail))

    def _rejected(self, answer: Answer, step: Step) -> Fault:
        """Return the fault of a call that the store rejected."""
        detail = f"status {answer.status}"
        return self._fault(PLATFORM_UNREACHABLE, step, detail)

    def _fault(self, code: ErrorCode, step: Step, detail: str) -> Fault:
        """Return a fault of the platform."""
        return Fault(code, step, Peer.PLATFORM, detail, self._client.address)


def _to_rows(messages: list[RowMessage]) -> list[StoredRow]:
    """Convert rows, whose base64 values are already decoded."""
    rows: list[StoredRow] = []
    for message in messages:
        value = None if message.tombstone else (message.value or b"")
        version = message.row_version or 0
        rows.append(
            StoredRow(message.table, message.part, message.key, value, version)
        )
    return rows
