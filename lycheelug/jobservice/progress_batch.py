"""The transactions of the writer of a pool's progress.

Most records have one row.  A record of several rows may fill a transaction,
so the jobs take turns, and submissions leave it one transaction in two.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.jobservice.tables import progress_names
from lycheelug.logs import log_change
from lycheelug.workloads.progress_codec import encode_progress

if TYPE_CHECKING:
    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.submission_queue import Submission
    from lycheelug.store.rows import RowName
    from lycheelug.workloads import ExecutorView, Job
    from lycheelug.workloads.progress_codec import EncodedProgress

__all__ = ["ENTRIES_MAX", "ProgressBatch", "ProgressPacker"]

# The store accepts at most 100 entries in a transaction, conditions and
# writes together.  A submission needs as many entries as the progress of
# two jobs.
ENTRIES_MAX: Final = 100
# The size limit of the values in one transaction.  The store accepts one
# megabyte of them in base64, with their names.
BATCH_BYTES_MAX: Final = 650_000
# Encoding a record of several rows takes milliseconds.  Such records aren't
# encoded again before this many times as long has passed, or the maximum.
ENCODING_PAUSE_FACTOR: Final = 80
ENCODING_PAUSE_MAX_S: Final = 1.0


class ProgressBatch:
    """The content of one transaction and the state it makes durable."""

    __slots__ = (
        "applied_ends",
        "crash_changes",
        "expected",
        "jobs",
        "left_out",
        "parts",
        "submissions",
        "writes",
    )

    def __init__(self) -> None:
        self.expected: dict[RowName, int] = {}
        self.writes: dict[RowName, bytes | None] = {}
        self.jobs: list[Job] = []
        self.submissions: list[Submission] = []
        # Executors, their start times and the numbers of the last end
        # that was applied.
        self.applied_ends: list[tuple[ExecutorView, int, int]] = []
        # The jobs with changes that the transaction has no room for.
        self.left_out: list[Job] = []
        # The number of further rows of each job's record, and the changes of
        # its crash records that it has.
        self.parts: list[int] = []
        self.crash_changes: list[int] = []

    @property
    def is_complete(self) -> bool:
        """Whether it has all changes that resulted from the ends."""
        return not self.left_out


class ProgressPacker:
    """Distributes the records of changed jobs over transactions."""

    __slots__ = (
        "_clock",
        "_left_out",
        "_omitted",
        "_pool",
        "needs_room",
        "paused_until",
    )

    def __init__(self, clock: Clock, pool: str) -> None:
        self._clock = clock
        self._pool = pool
        # The jobs that the last transaction had no room for, the first to be
        # stored first, and whether they need the next one alone.
        self._left_out: list[str] = []
        self.needs_room = False
        # Local time before which no record of several rows is encoded.
        self.paused_until = 0.0
        # What is left out of records that don't fit into all rows, by job.
        self._omitted: dict[str, str] = {}

    def forget(self, job_id: str) -> None:
        """Forget a job that was removed."""
        self._omitted.pop(job_id, None)

    def add_jobs(self, batch: ProgressBatch, waiting: list[Job]) -> None:
        """Add the records of the changed jobs that the transaction can have.

        `waiting` are all of them.  Those that the last transaction had no
        room for go first, so that none of them waits for ever.
        """
        size = sum(len(value or b"") for value in batch.writes.values())
        places = {job_id: place for place, job_id in enumerate(self._left_out)}
        waiting.sort(key=lambda job: places.get(job.job_id, len(places)))
        self._left_out = []
        paused_until = self.paused_until
        for position, job in enumerate(waiting):
            if job.part_count and self._clock.now() < paused_until:
                batch.left_out.append(job)
                continue
            encoded = self._encode_progress(job)
            size += encoded.size
            parts = len(encoded.rows) - 1
            names = progress_names(job.job_id, max(parts, job.part_count))
            entries = len(batch.expected) + len(batch.writes)
            has_room = (
                entries + 1 + len(names) <= ENTRIES_MAX
                and size <= BATCH_BYTES_MAX
            )
            if not has_room and (batch.jobs or batch.submissions):
                batch.left_out.extend(waiting[position:])
                self._left_out = [each.job_id for each in waiting[position:]]
                break
            job.is_dirty = False
            job.part_count = len(names) - 1
            batch.jobs.append(job)
            batch.parts.append(parts)
            batch.crash_changes.append(job.suspicion.changes)
            # All rows of a record are written together, so the version of
            # the first one is enough as a condition.
            batch.expected[names[0]] = job.row_version
            for number, name in enumerate(names):
                is_used = number <= parts
                batch.writes[name] = encoded.rows[number] if is_used else None
        self.needs_room = bool(self._left_out and batch.submissions)

    def _encode_progress(self, job: Job) -> EncodedProgress:
        """Return a job's record; log what doesn't fit into its rows."""
        began = self._clock.now()
        encoded = encode_progress(job.progress)
        if len(encoded.rows) > 1:
            now = self._clock.now()
            pause_s = (now - began) * ENCODING_PAUSE_FACTOR
            self.paused_until = max(
                self.paused_until, now + min(pause_s, ENCODING_PAUSE_MAX_S)
            )
        if encoded.omitted == self._omitted.get(job.job_id, ""):
            return encoded
        self._omitted[job.job_id] = encoded.omitted
        log_change(
            "progress-shortened",
            pool=self._pool,
            job=job.job_id,
            size=encoded.size,
            rows=len(encoded.rows),
            omitted=encoded.omitted,
        )
        return encoded
