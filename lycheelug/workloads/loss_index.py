"""Finds the crash records of a pool's jobs by incarnation; no I/O.

An observation of an executor concerns few of the records, of which a pool
may have as many as tasks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheelug.workloads.crash_records import CrashRecord
    from lycheelug.workloads.jobs import Job

    # A job, the key of one of its tasks, and a record of that task.
    Entry: TypeAlias = tuple[Job, str, CrashRecord]
    # An executor and the start time of one of its incarnations.
    Incarnation: TypeAlias = tuple[str, int]

__all__ = ["LossIndex"]


class _Loss:
    """The records of one incarnation."""

    __slots__ = ("entries", "hosts")

    def __init__(self) -> None:
        # Keyed by the job and the key of the task.
        self.entries: dict[tuple[str, str], Entry] = {}
        # The hosts that the records name.
        self.hosts: set[str] = set()


class LossIndex:
    """The crash records of the jobs of one pool, by incarnation.

    The records are part of their jobs' progress.  Those that were dropped
    there are left out here.
    """

    __slots__ = ("_by_executor", "_by_host", "_losses")

    def __init__(self) -> None:
        self._losses: dict[Incarnation, _Loss] = {}
        self._by_executor: dict[str, set[Incarnation]] = {}
        self._by_host: dict[str, set[Incarnation]] = {}

    def __iter__(self) -> Iterator[Incarnation]:
        return iter(list(self._losses))

    def add(self, job: Job, key: str, record: CrashRecord) -> None:
        """Add a record, or one whose host has become known."""
        incarnation = record.incarnation
        loss = self._losses.setdefault(incarnation, _Loss())
        loss.entries[(job.job_id, key)] = (job, key, record)
        self._by_executor.setdefault(record.executor, set()).add(incarnation)
        if record.host:
            loss.hosts.add(record.host)
            self._by_host.setdefault(record.host, set()).add(incarnation)

    def of_executor(self, executor_id: str) -> list[Incarnation]:
        """Return the incarnations of an executor, the oldest first."""
        return sorted(self._by_executor.get(executor_id, ()))

    def of_host(self, host: str) -> list[Incarnation]:
        """Return the incarnations that ran on a host."""
        return sorted(self._by_host.get(host, ()))

    def entries(self, incarnation: Incarnation) -> list[Entry]:
        """Return the records of an incarnation that are left."""
        loss = self._losses.get(incarnation)
        if loss is None:
            return []
        found: list[Entry] = []
        for name, entry in list(loss.entries.items()):
            if _is_kept(entry):
                found.append(entry)
            else:
                del loss.entries[name]
        if not found:
            self._remove(incarnation, loss)
        return found

    def _remove(self, incarnation: Incarnation, loss: _Loss) -> None:
        """Remove an incarnation of which no record is left."""
        del self._losses[incarnation]
        _discard(self._by_executor, incarnation[0], incarnation)
        for host in loss.hosts:
            _discard(self._by_host, host, incarnation)


def _is_kept(entry: Entry) -> bool:
    """Return whether a record is still part of its job's progress."""
    job, key, record = entry
    if job.is_final:
        return False
    known = job.progress.crashes.get(key, ())
    return any(each is record for each in known)


def _discard(
    index: dict[str, set[Incarnation]], key: str, incarnation: Incarnation
) -> None:
    """Remove an incarnation from one entry of an index."""
    known = index[key]
    known.discard(incarnation)
    if not known:
        del index[key]
