"""Writes a pool's progress to the store, many jobs in one transaction.

Each transaction is conditional on the versions of the owner's row and of
each progress row.  So a retry, or a transaction that the store executes
late, can never replace a newer record by an old one.  A conflict on the
owner's row means that the pool is lost.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.jobservice.progress_batch import (
    ENTRIES_MAX,
    ProgressBatch,
    ProgressPacker,
)
from lycheelug.jobservice.published_load import PublishedLoad
from lycheelug.jobservice.tables import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    OWNER_ROW,
    PROGRESS_TABLE,
    jobs_table,
    progress_names,
)
from lycheelug.jobservice.used_executors import UsedExecutors
from lycheelug.logs import log_change, log_fault
from lycheelug.store.rows import RowConflict, RowName

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner
    from lycheelug.workloads.ended_jobs import EndedJob

__all__ = ["ProgressWriter"]

# Jobs that get the begun mark with one transaction.
BEGINS_MAX: Final = 45
SUBMISSIONS_MAX: Final = 16
# Ownership is proved at least this often, by a transaction without writes
# if nothing has changed.
PROOF_INTERVAL_S: Final = 1.5
RETRY_S: Final = 0.1
# Changes are collected for this long, so that ends at nearly the same time
# share a transaction.
BATCH_DELAY_S: Final = 0.02


class ProgressWriter:
    """The single writer of one pool's progress."""

    __slots__ = (
        "_context",
        "_incomplete",
        "_is_failing",
        "_owner",
        "_packer",
        "_wake",
        "_writing",
        "load",
        "used_executors",
    )

    def __init__(self, context: OwnerContext, owner: PoolOwner) -> None:
        self._context = context
        self._owner = owner
        self._wake = asyncio.Event()
        self._writing = asyncio.Lock()
        self.load = PublishedLoad(context.clock, owner.schedule)
        self.used_executors = UsedExecutors(owner.schedule)
        self._is_failing = False
        # A stored batch whose ends aren't acknowledged yet, as changes that
        # resulted from them aren't stored.
        self._incomplete: ProgressBatch | None = None
        self._packer = ProgressPacker(context.clock, owner.pool)

    def verify_soon(self) -> None:
        """Prove the ownership at once: an executor has seen a newer owner."""
        self._wake.set()

    def wake_if_needed(self) -> None:
        """Write soon if there is something to write.

        It is called once the pool's jobs and executors are known.
        """
        self.load.mark_ready()
        if self._has_work():
            self._wake.set()

    async def run(self) -> None:
        """Write all changes until cancelled."""
        while True:
            if not self._has_work():
                await self._wait()
            self._wake.clear()
            if not self._is_urgent():
                await self._collect_changes()
            async with self._writing:
                is_stored = await self._write()
            if not is_stored:
                await asyncio.sleep(RETRY_S)

    async def remove(self, jobs: list[EndedJob]) -> bool:
        """Remove all rows of some jobs; return False if that failed."""
        table = jobs_table(self._owner.pool)
        names: list[RowName] = []
        for job in jobs:
            names.append(RowName(table, JOB_PREFIX + job.job_id))
            names.append(RowName(table, CANCEL_PREFIX + job.job_id))
            names.extend(progress_names(job.job_id, job.part_count))
            self._packer.forget(job.job_id)
        if not names or not await self._remove_rows(names):
            return False
        log_change("jobs-removed", pool=self._owner.pool, jobs=len(jobs))
        return True

    async def remove_unclaimed(self) -> None:
        """Remove further rows of jobs that have no other rows."""
        unclaimed = self._owner.feeds.unclaimed_progress()
        for job_id, part_count in unclaimed.items():
            names = progress_names(job_id, part_count)[:ENTRIES_MAX]
            if not await self._remove_rows(names[1:]):
                return
            del self._owner.feeds.stored_progress[job_id]
            log_change("rows-removed", pool=self._owner.pool, job=job_id)

    async def _remove_rows(self, names: list[RowName]) -> bool:
        """Remove some rows of the pool; return False if that failed."""
        owner = self._owner
        expected = {OWNER_ROW: owner.owner_version}
        writes: dict[RowName, bytes | None] = dict.fromkeys(names)
        async with self._writing:
            result = await self._context.store.commit(
                owner.pool, expected, writes
            )
        if isinstance(result, Failure):
            log_fault("jobs-not-removed", result.failure(), pool=owner.pool)
            return False
        if isinstance(result.unwrap(), RowConflict):
            owner.revoke("the owner row has another holder")
            return False
        return True

    async def flush(self) -> None:
        """Write the current changes once."""
        self._packer.paused_until = 0.0
        async with self._writing:
            await self._write()

    async def _wait(self) -> None:
        """Wait for work, or until ownership has to be proved."""
        try:
            async with asyncio.timeout(PROOF_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _collect_changes(self) -> None:
        """Wait for further changes that can share a transaction."""
        now = self._context.clock.now
        proof_at = self._owner.verified_at + PROOF_INTERVAL_S
        dirty = self._owner.schedule.job_index.dirty
        await asyncio.sleep(BATCH_DELAY_S)
        while dirty and now() < min(self._packer.paused_until, proof_at):
            is_large = all(job.part_count for job in dirty.values())
            if not is_large or self._is_urgent():
                return
            await asyncio.sleep(BATCH_DELAY_S)

    def _has_work(self) -> bool:
        """Whether any change is unwritten or any end unacknowledged."""
        schedule = self._owner.schedule
        if self._is_urgent():
            return True
        if schedule.job_index.dirty:
            return True
        for view in schedule.executors.values():
            if view.last_applied_end > view.last_acked_end:
                return True
        return self.used_executors.is_due or self.load.is_due()

    def _is_urgent(self) -> bool:
        """Whether a caller or a job that can begin waits for a write."""
        owner = self._owner
        return owner.submission_queue.has_work or bool(
            owner.schedule.jobs_to_begin()
        )

    async def _write(self) -> bool:
        """Commit one batch; return False to retry it after a pause.

        After a conflict, the next batch has the rows' current versions.
        """
        owner = self._owner
        batch = self._build_batch()
        requested_at = self._context.clock.now()
        owner.work.record_attempt(requested_at)
        result = await self._context.store.commit(
            owner.pool, batch.expected, batch.writes
        )
        owner.submission_queue.commit_s = (
            self._context.clock.now() - requested_at
        )
        if isinstance(result, Failure):
            for job in batch.jobs:
                job.is_dirty = True
            self.load.apply_failure()
            self.used_executors.apply_failure()
            owner.submission_queue.apply_failure(
                batch.submissions, result.failure()
            )
            self._log_failure(result.failure())
            return False
        outcome = result.unwrap()
        if isinstance(outcome, RowConflict):
            owner.submission_queue.apply_conflict(batch.submissions, outcome)
            self._handle_conflict(outcome, batch, requested_at)
            return not owner.lost.is_set()
        self._log_recovery()
        owner.verified_at = requested_at
        if owner.is_current:
            owner.work.record_success()
        self._apply_commit(batch, outcome.version)
        owner.wake()
        return True

    def _build_batch(self) -> ProgressBatch:
        """Collect the changes for the next transaction."""
        owner = self._owner
        schedule = owner.schedule
        for job in schedule.jobs_to_begin()[:BEGINS_MAX]:
            job.mark_begun(owner.term)
        batch = ProgressBatch()
        batch.expected[OWNER_ROW] = owner.owner_version
        submissions_max = 0 if self._packer.needs_room else SUBMISSIONS_MAX
        batch.submissions = owner.submission_queue.take_batch(
            submissions_max, self._context.clock.now()
        )
        for submission in batch.submissions:
            batch.expected.update(owner.submission_queue.gates(submission))
            for name, value in owner.submission_queue.rows(submission).items():
                batch.expected[name] = 0
                batch.writes[name] = value
        for changes in (
            self.load.take_changes(),
            self.used_executors.take_changes(),
        ):
            for name, (version, value) in changes.items():
                batch.expected[name] = version
                batch.writes[name] = value
        self._packer.add_jobs(batch, schedule.job_index.dirty_in_order())
        for view in schedule.executors.values():
            batch.applied_ends.append(
                (view, view.born_ms, view.last_applied_end)
            )
        return batch

    def _apply_commit(self, batch: ProgressBatch, version: int) -> None:
        """Record that a batch has been stored."""
        self.load.apply_commit(version)
        self.used_executors.apply_commit(version)
        for submission in batch.submissions:
            self._owner.feeds.add_stored_submission(submission, version)
        for job, parts, crash_changes in zip(
            batch.jobs, batch.parts, batch.crash_changes, strict=True
        ):
            job.row_version = version
            job.part_count = parts
            # Other changes don't hold up the next starts.
            if job.suspicion.changes == crash_changes:
                job.has_unsaved_crashes = False
            if job.progress.begun_term:
                job.begin_is_stored = True
            self._owner.schedule.job_index.record_stored(job)
        if batch.is_complete:
            self._incomplete = None
            self._acknowledge(batch)
            return
        if self._incomplete is None:
            self._incomplete = batch
            return
        # Its ends are acknowledged once all changes that resulted from them
        # are stored, even if there is always a job that is left out.
        stored = set(batch.jobs)
        left_out = self._incomplete.left_out
        left_out[:] = [job for job in left_out if job not in stored]
        if self._incomplete.is_complete:
            self._acknowledge(self._incomplete)
            self._incomplete = None

    def _acknowledge(self, batch: ProgressBatch) -> None:
        """Let the executors know that their ends are stored."""
        for view, born_ms, last_applied_end in batch.applied_ends:
            if view.born_ms == born_ms:
                view.last_acked_end = max(
                    view.last_acked_end, last_applied_end
                )
        self._owner.on_progress_stored()

    def _handle_conflict(
        self, conflict: RowConflict, batch: ProgressBatch, requested_at: float
    ) -> None:
        """Detect a lost pool; otherwise adopt the stored row versions.

        Without another owner, the conflict comes from an earlier write
        that took effect without an answer, or from a submission that its
        sender has stored.  The unchanged owner row then proves the
        ownership as a successful write does.
        """
        owner = self._owner
        current = conflict.rows.get(OWNER_ROW)
        if current is None or current.version != owner.owner_version:
            owner.revoke("the owner row has another holder")
            return
        self.load.apply_conflict(conflict.rows)
        self.used_executors.apply_conflict(conflict.rows)
        owner.verified_at = requested_at
        for job in batch.jobs:
            job.is_dirty = True
            row = conflict.rows.get(RowName(PROGRESS_TABLE, job.job_id))
            job.row_version = row.version if row is not None else 0
        log_change(
            "progress-rewritten",
            pool=owner.pool,
            jobs=len(batch.jobs),
            submissions=len(batch.submissions),
            conflicts=len(conflict.rows),
            reason="rows were stored meanwhile",
        )

    def _log_failure(self, fault: Fault) -> None:
        """Log the first of consecutive failures."""
        if not self._is_failing:
            self._is_failing = True
            log_fault("progress-not-stored", fault, pool=self._owner.pool)

    def _log_recovery(self) -> None:
        """Log the first success after a failure."""
        if self._is_failing:
            self._is_failing = False
            log_change("progress-stored-again", pool=self._owner.pool)
