"""Adds up the daemons' logs by second and pool; does no I/O.

A job counts in the second in which its submission was first answered, with
the outcome that it had in the end.
"""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, Any, Final

import msgspec

from lycheelug.cli.explain import parse_records

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["COLUMNS", "DayRow", "add_up_day"]

CORE_MILLIS: Final = 1000
COLUMNS: Final = (
    "second",
    "pool",
    "asked",
    "in_time",
    "late",
    "overdue",
    "failed",
    "refused",
    "undecided",
    "open",
    "started",
    "hosts",
    "cores",
    "used",
    "waiting",
    "oldest_ms",
    "ordered",
    "arrived",
    "left",
)


class DayRow(msgspec.Struct):
    """One second of one pool."""

    second: int
    pool: str
    # Jobs that were submitted, and how many of them ended within their
    # objective, within three times the objective, later, or not completed.
    asked: int = 0
    in_time: int = 0
    late: int = 0
    overdue: int = 0
    failed: int = 0
    # Jobs of which each submission was refused, or without known outcome.
    refused: int = 0
    undecided: int = 0
    # Jobs whose end is not in the logs.
    open: int = 0
    # Jobs that were started early enough to be in time.
    started: int = 0
    hosts: int = 0
    cores: int = 0
    # Cores in use by what they are used for, and waiting steps by whether
    # they can be in time.
    used: str = ""
    waiting: str = ""
    # Age of the oldest job that waits for an executor.
    oldest_ms: int = 0
    # Hosts that were ordered to the pool, have answered there, and have left.
    ordered: int = 0
    arrived: int = 0
    left: int = 0


class _Job:
    """What the logs tell of one job."""

    __slots__ = ("answer", "end", "pool", "second")

    def __init__(self, second: int, pool: str, answer: str) -> None:
        self.second = second
        self.pool = pool
        # The field of `DayRow` that counts its submission.
        self.answer = answer
        self.end: dict[str, Any] | None = None


class _Day:
    """The rows of a day."""

    __slots__ = ("_executors", "_jobs", "_origin", "_rows")

    def __init__(self, origin: datetime) -> None:
        self._origin = origin
        self._rows: dict[tuple[int, str], DayRow] = {}
        self._jobs: dict[str, _Job] = {}
        self._executors: set[tuple[str, str]] = set()

    def add(self, record: dict[str, Any]) -> None:
        """Add a log record."""
        second = self._second(record)
        pool = str(record.get("pool", ""))
        match record["event"]:
            case "job-accepted":
                self._add_answer(record, second, pool, "open")
            case "submission-refused":
                self._add_answer(record, second, pool, "refused")
            case "submission-undecided":
                self._add_answer(record, second, pool, "undecided")
            case "job-ended":
                job = self._jobs.get(str(record.get("job", "")))
                if job is not None:
                    job.end = record
            case "pool-use":
                self._add_use(record, self._row(second, pool))
            case "host-order" if record.get("answer") == "done":
                if record.get("target"):
                    self._row(second, str(record["target"])).ordered += 1
                self._row(second, pool).left += 1
            case "executor-heard":
                executor = (pool, str(record.get("executor", "")))
                if executor not in self._executors:
                    self._executors.add(executor)
                    self._row(second, pool).arrived += 1

    def rows(self) -> list[DayRow]:
        """Return the rows, ordered by second and pool."""
        for job in self._jobs.values():
            row = self._row(job.second, job.pool)
            row.asked += 1
            outcome = _outcome(job)
            setattr(row, outcome, getattr(row, outcome) + 1)
            row.started += _is_started_in_time(job)
        return [self._rows[key] for key in sorted(self._rows)]

    def _second(self, record: dict[str, Any]) -> int:
        """Return the second of a record, counted from the origin."""
        at = datetime.fromisoformat(str(record["time"]))
        return int((at - self._origin).total_seconds() // 1)

    def _row(self, second: int, pool: str) -> DayRow:
        """Return the row of a second and pool."""
        key = (second, pool)
        return self._rows.setdefault(key, DayRow(second, pool))

    def _add_answer(
        self, record: dict[str, Any], second: int, pool: str, answer: str
    ) -> None:
        """Add the answer to a submission; the best one of a job counts."""
        job_id = str(record.get("job", record.get("subject", "")))
        job = self._jobs.get(job_id)
        if job is None:
            self._jobs[job_id] = _Job(second, pool, answer)
            return
        job.pool = job.pool or pool
        if answer == "open" or job.answer == "refused":
            job.answer = answer

    def _add_use(self, record: dict[str, Any], row: DayRow) -> None:
        """Add the use of a pool's capacity."""
        row.hosts = _number(record, "hosts")
        row.cores = round(_number(record, "capacity_cpu") / CORE_MILLIS)
        row.used = _shares(record.get("used_cpu"), CORE_MILLIS)
        row.waiting = _shares(record.get("waiting_steps"), 1)
        row.oldest_ms = _number(record, "oldest_ms")


def add_up_day(
    lines: Iterable[str], origin: datetime | None = None
) -> list[DayRow]:
    """Return the rows of the logs; second 0 begins at the origin.

    By default the origin is the time of the first line.  Times without a
    time zone are in UTC.

    >>> line = '{"time":"2026-01-01T00:00:01","event":"job-accepted"}'
    >>> [(row.second, row.asked, row.open) for row in add_up_day([line])]
    [(0, 1, 1)]
    """
    records = parse_records(lines)
    if not records:
        return []
    day = _Day(origin or datetime.fromisoformat(str(records[0]["time"])))
    for record in records:
        day.add(record)
    return day.rows()


def _outcome(job: _Job) -> str:
    """Return the field of `DayRow` that counts a job's outcome."""
    end = job.end
    if end is None:
        return job.answer
    if end.get("state") != "completed":
        return "failed"
    took_ms = _number(end, "took_ms")
    if took_ms <= _number(end, "allowed_ms"):
        return "in_time"
    return "late" if took_ms <= _number(end, "limit_ms") else "overdue"


def _is_started_in_time(job: _Job) -> bool:
    """Return whether a job was started while it could still be in time."""
    end = job.end
    if end is None or end.get("waited_ms") is None:
        return False
    latest_ms = _number(end, "allowed_ms") - _number(end, "expected_ms")
    return _number(end, "waited_ms") <= latest_ms


def _number(record: dict[str, Any], field: str) -> int:
    """Return a whole number of a record; 0 if it has none."""
    value = record.get(field)
    return value if isinstance(value, int) else 0


def _shares(amounts: object, divisor: int) -> str:
    """Return the text of amounts by name."""
    if not isinstance(amounts, dict):
        return ""
    parts = [
        f"{name}={round(amount / divisor)}"
        for name, amount in sorted(amounts.items())
        if isinstance(amount, int)
    ]
    return " ".join(parts)
