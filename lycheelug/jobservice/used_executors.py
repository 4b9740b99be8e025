"""Records which executors a pool uses, for the pool's next owner.

An executor's entry in the store may expire while its tasks still run, so a
new owner looks for runs on the executors that its predecessors recorded.  An
executor is used only while a stored record names it.  It is left out while
it is drained: nothing runs there, and it has to be recorded again before it
is used.

The executors are spread over a fixed number of rows, so that a change writes
a small part of them, and all fit into one transaction.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple
from zlib import crc32

import msgspec

from lycheelug.decoding import Amount, UnixMs, decode_json
from lycheelug.jobservice.summary import host_of, is_in_use
from lycheelug.store.rows import RowName
from lycheelug.workloads import ExecutorInfo, Resources

if TYPE_CHECKING:
    from lycheelug.store.rows import StoredRow
    from lycheelug.workloads import ExecutorView, PoolSchedule

__all__ = [
    "USED_EXECUTORS_TABLE",
    "UsedExecutor",
    "UsedExecutors",
    "decode_used_executors",
]

USED_EXECUTORS_TABLE: Final = "used-executors"
# The number of rows.  Each that changes takes two of a transaction's entries.
USED_EXECUTORS_ROWS: Final = 10


class UsedExecutor(NamedTuple):
    """What a later owner needs to call an executor and to use it."""

    host: str
    address: str
    capacity_cpu: Amount
    capacity_memory: Amount
    # Start time of the last incarnation that the owner has heard and whose
    # leases end when the owner expects it; 0 if unknown.
    born_ms: UnixMs = 0

    @property
    def place(self) -> UsedExecutor:
        """What must be stored before the executor is used."""
        return self._replace(born_ms=0)

    def info(self, executor_id: str, pool: str) -> ExecutorInfo:
        """Return the executor as if it had an entry."""
        capacity = Resources(self.capacity_cpu, self.capacity_memory, 0)
        return ExecutorInfo(
            executor_id, pool, self.address, capacity, host=self.host
        )


class _Row:
    """One row as it is stored."""

    __slots__ = ("executors", "version", "written")

    def __init__(self) -> None:
        # None if unknown, as after a write without an answer.
        self.executors: dict[str, UsedExecutor] | None = {}
        self.version = 0
        # The content of the write in progress.
        self.written: dict[str, UsedExecutor] | None = None


class UsedExecutors:
    """The recorded executors of one pool, and the changes to write."""

    __slots__ = ("_rows", "_schedule")

    def __init__(self, schedule: PoolSchedule) -> None:
        self._schedule = schedule
        self._rows = {
            RowName(USED_EXECUTORS_TABLE, str(number)): _Row()
            for number in range(USED_EXECUTORS_ROWS)
        }

    @property
    def is_due(self) -> bool:
        """Whether an executor can be used once it is recorded."""
        for view in self._schedule.executors.values():
            if view.is_recorded or not view.has_accepted_term:
                continue
            if _is_to_record(view):
                return True
        return False

    def restore(self, row: StoredRow) -> dict[str, UsedExecutor]:
        """Take over a row of the last owner; return its executors."""
        known = self._rows.get(row.name)
        executors = decode_used_executors(row.value or b"")
        if known is not None:
            known.executors = executors
            known.version = row.version
        return executors or {}

    def take_changes(self) -> dict[RowName, tuple[int, bytes]]:
        """Return the rows to write, with their expected versions.

        An executor that is left out can't be used any more.
        """
        wanted: dict[RowName, dict[str, UsedExecutor]] = {
            name: {} for name in self._rows
        }
        for view in self._schedule.executors.values():
            record = _record_of(view)
            name = _row_name(view.executor_id)
            stored = self._rows[name].executors or {}
            if not _is_to_record(view):
                view.is_recorded = False
                continue
            wanted[name][view.executor_id] = record
            if view.executor_id in stored:
                known = stored[view.executor_id]
                view.is_recorded = known.place == record.place
        changes: dict[RowName, tuple[int, bytes]] = {}
        for name, row in self._rows.items():
            if _is_current(row.executors, wanted[name]):
                continue
            row.written = wanted[name]
            # Unknown until the write is answered.
            row.executors = None
            changes[name] = (row.version, msgspec.json.encode(row.written))
        return changes

    def apply_commit(self, version: int) -> None:
        """Record that the changes were stored."""
        for row in self._rows.values():
            if row.written is None:
                continue
            row.executors = row.written
            row.written = None
            row.version = version
            for executor_id, record in row.executors.items():
                view = self._schedule.executors.get(executor_id)
                if view is None:
                    continue
                if _record_of(view).place == record.place:
                    view.is_recorded = True

    def apply_failure(self) -> None:
        """Record that the changes may or may not have been stored."""
        for row in self._rows.values():
            row.written = None

    def apply_conflict(self, rows: dict[RowName, StoredRow]) -> None:
        """Adopt the stored versions of the rows that were to be written."""
        for name, row in self._rows.items():
            if row.written is None:
                continue
            row.written = None
            current = rows.get(name)
            row.version = current.version if current is not None else 0


def decode_used_executors(value: bytes) -> dict[str, UsedExecutor] | None:
    """Return the decoded executors, or None if the value is invalid."""
    return decode_json(value, dict[str, UsedExecutor]).value_or(None)


def _is_current(
    stored: dict[str, UsedExecutor] | None, wanted: dict[str, UsedExecutor]
) -> bool:
    """Return whether a row needs no write.

    A start time that is added to one without is written with the next change.
    """
    if stored is None or stored.keys() != wanted.keys():
        return False
    for executor_id, record in wanted.items():
        known = stored[executor_id]
        if known.place != record.place:
            return False
        if known.born_ms not in (0, record.born_ms):
            return False
    return True


def _is_to_record(view: ExecutorView) -> bool:
    """Whether tasks may run or be started on an executor.

    One that never answered was not used, and its address may be wrong.
    """
    return view.is_located and is_in_use(view) and not view.is_drained


def _record_of(view: ExecutorView) -> UsedExecutor:
    """Return the record of an executor."""
    info = view.info
    return UsedExecutor(
        host_of(view),
        info.address,
        info.capacity.cpu_millis,
        info.capacity.memory_mb,
        view.recorded_born_ms,
    )


def _row_name(executor_id: str) -> RowName:
    """Return the row that records an executor."""
    number = crc32(executor_id.encode()) % USED_EXECUTORS_ROWS
    return RowName(USED_EXECUTORS_TABLE, str(number))
