"""What a pool's owner follows in the store: its jobs, and the fleet plan.

Submissions and cancels arrive in the pool's part of a table, drain orders
in the row of the fleet plan.  Both are applied to the pool's schedule.  How
old they may be is observed here, as an owner that no longer receives them
can't do its work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan import (
    PLAN_KEY,
    PLANS_TABLE,
    decode_plan,
)
from lycheelug.jobservice.interfaces import SubmissionAnswer
from lycheelug.jobservice.queue_policies import QueuePolicies
from lycheelug.jobservice.tables import (
    CANCEL_PREFIX,
    FLEET_PART,
    JOB_PREFIX,
    decode_job,
    jobs_table,
)
from lycheelug.jobservice.tenant_log import log_over_share
from lycheelug.logs import log_change
from lycheelug.store.replica import TableReplica
from lycheelug.supervision import describe_error
from lycheelug.workloads import apply_policy, find_error

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.interfaces import WaitingCount
    from lycheelug.jobservice.submission_queue import (
        Submission,
        SubmissionQueue,
    )
    from lycheelug.jobservice.tables import StoredProgress
    from lycheelug.store.rows import StoredRow
    from lycheelug.workloads import (
        Job,
        JobRecord,
        PoolSchedule,
        ProgressRecord,
    )

__all__ = ["PoolFeeds"]

# The pause between two calls to the feed, so that one call returns several
# submissions.
FEED_PAUSE_S: Final = 0.03
# The feeds of submissions and of the plan answer at least each two seconds.
# An owner that has not heard them for longer than this does not know how many
# jobs wait, and which hosts to drain.
FEED_AGE_MAX_S: Final = 3.0
# The maximum age of the submissions of which jobs are counted.  An answer with
# changes may have been made up to two seconds before the call ended, and the
# next one arrives two seconds later.
COUNT_AGE_MAX_S: Final = 4.5
# How long a host may take from its last order to its first answer.
ARRIVAL_S: Final = 4.0


class PoolFeeds:
    """The feeds of one pool's owner."""

    __slots__ = (
        "_arriving_hosts",
        "_context",
        "_jobs_at",
        "_jobs_replica",
        "_on_change",
        "_plan_at",
        "_plan_replica",
        "_policies",
        "_queue",
        "_schedule",
        "drain_orders",
        "stored_progress",
    )

    def __init__(
        self,
        context: OwnerContext,
        schedule: PoolSchedule,
        queue: SubmissionQueue,
        on_change: Callable[[], None],
    ) -> None:
        self._context = context
        self._schedule = schedule
        self._queue = queue
        # Called after a change of the schedule's inputs.
        self._on_change = on_change
        self._policies = QueuePolicies(context, schedule, on_change)
        self._jobs_replica = TableReplica(
            context.store,
            jobs_table(schedule.pool),
            self._on_row,
            part=schedule.pool,
            pause_s=FEED_PAUSE_S,
            on_answer=self._on_jobs_answer,
            keeps_values=False,
        )
        self._plan_replica = TableReplica(
            context.store,
            PLANS_TABLE,
            self._on_plan,
            part=FLEET_PART,
            on_answer=self._on_plan_answer,
        )
        # Local times of the last answers.
        self._jobs_at = context.clock.now()
        self._plan_at = self._jobs_at
        # The planner's orders to drain hosts: order numbers by host.
        self.drain_orders: dict[str, str] = {}
        # Hosts that the planner moves to this pool, with the local times at
        # which their orders were last seen.
        self._arriving_hosts: dict[str, float] = {}
        # Progress that a former owner stored, until its job's submission
        # is read.
        self.stored_progress: dict[str, StoredProgress] = {}

    @property
    def has_jobs(self) -> bool:
        """Whether all submissions were read."""
        return self._jobs_replica.loaded.is_set()

    @property
    def is_fresh(self) -> bool:
        """Whether both feeds have answered lately."""
        oldest_at = min(self._jobs_at, self._plan_at)
        return self._context.clock.now() - oldest_at < FEED_AGE_MAX_S

    def unclaimed_progress(self) -> dict[str, int]:
        """Return the jobs of which only further rows of progress exist.

        The values are the numbers of these rows.
        """
        found: dict[str, int] = {}
        if not self.has_jobs:
            return found
        for job_id, stored in self.stored_progress.items():
            if stored.version or job_id in self._schedule.jobs:
                continue
            if self._schedule.ended_jobs.find(job_id) is None:
                found[job_id] = stored.part_count
        return found

    def works(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines that follow the feeds."""
        return [
            self._plan_replica.run(),
            self._jobs_replica.run(),
            self._policies.run(),
        ]

    async def wait_loaded(self) -> None:
        """Wait until all submissions and the plan were read."""
        await self._jobs_replica.loaded.wait()
        await self._plan_replica.loaded.wait()

    def count_arriving_hosts(self) -> int:
        """Count the hosts that were ordered to this pool lately."""
        now = self._context.clock.now()
        present = {
            view.info.host for view in self._schedule.executors.values()
        }
        for host, seen_at in list(self._arriving_hosts.items()):
            if host in present or now - seen_at > ARRIVAL_S:
                del self._arriving_hosts[host]
        return len(self._arriving_hosts)

    def count_waiting(self, queue: str, address: str = "") -> WaitingCount:
        """Count a queue's accepted jobs that have not started.

        They are those that were accepted at its address, and those with its
        name that no other route's callers know.

        None if this owner may not know all jobs that other daemons stored.
        """
        now = self._context.clock.now()
        age_s = now - self._jobs_at + self._jobs_replica.lag_s
        is_current = age_s < COUNT_AGE_MAX_S
        if not self.has_jobs or not is_current:
            return None
        count = 0
        for job in self._schedule.jobs.values():
            if job.has_started or job.is_final:
                continue
            count += self._is_of_queue(job.record, queue, address)
        return count

    def _is_of_queue(
        self, record: JobRecord, queue: str, address: str
    ) -> bool:
        """Return whether callers of a queue's address have sent a job."""
        configuration = self._context.configuration()
        if not address or configuration is None:
            return record.queue == queue
        if record.address == address:
            return True
        route = configuration.find_queue_of(record)
        return (route.name if route else record.queue) == queue

    def add_stored_submission(
        self, submission: Submission, version: int
    ) -> None:
        """Add the job of a submission that this owner has stored.

        The table's feed may have delivered the submission before, but
        without its progress record.
        """
        job_id = submission.job_id
        job = self._add_job(job_id, submission.record, submission.progress)
        if submission.progress is not None:
            job.record_begin_stored(self._schedule.term, version)
        self._apply_stored_cancel(job)
        submission.resolve(SubmissionAnswer.STORED)

    def _on_jobs_answer(self) -> None:
        """Record that the feed of submissions has answered."""
        self._jobs_at = self._context.clock.now()

    def _on_plan_answer(self) -> None:
        """Record that the feed of the plan has answered."""
        self._plan_at = self._context.clock.now()

    def _on_row(self, row: StoredRow) -> None:
        """Apply a row of a submission or a cancel."""
        clock = self._context.clock
        if row.value is None:
            return
        if row.key.startswith(CANCEL_PREFIX):
            job = self._schedule.cancel_job(
                row.key[len(CANCEL_PREFIX) :], clock.unix_ms()
            )
            if job is not None:
                self._on_change()
            return
        if not row.key.startswith(JOB_PREFIX):
            return
        job_id = row.key[len(JOB_PREFIX) :]
        if self._schedule.ended_jobs.find(job_id) is not None:
            return
        record = decode_job(row.value)
        if record is None:
            log_change("row-unreadable", table=row.table, key=row.key)
            self._context.metrics.count("rows-unreadable")
            return
        self._queue.settle(job_id, record.tenant)
        stored = self.stored_progress.pop(job_id, None)
        progress = stored.progress if stored is not None else None
        job = self._add_job(job_id, record, progress)
        if stored is not None:
            job.row_version = max(job.row_version, stored.version)
            job.part_count = max(job.part_count, stored.part_count)
            # The record of a job that has ended needs no further rows.
            job.is_dirty = job.is_dirty or (
                job.is_final and job.part_count > 0
            )
        self._apply_stored_cancel(job)
        self._on_change()

    def set_aside(self, job: Job, reason: str) -> None:
        """Fail a job that can't be scheduled, and say why."""
        log_change(
            "job-set-aside",
            job=job.job_id,
            pool=self._schedule.pool,
            queue=job.record.queue,
            reason=reason,
        )
        self._context.metrics.count("jobs-set-aside")
        self._schedule.set_aside_job(
            job, reason, self._context.clock.unix_ms()
        )
        self._on_change()

    def _add_job(
        self, job_id: str, record: JobRecord, progress: ProgressRecord | None
    ) -> Job:
        """Add a stored job; set it aside if it can't be scheduled."""
        clock = self._context.clock
        schedule = self._schedule
        error = find_error(record, self._context.job_limits)
        reason = error.render() if error is not None else ""
        policy = self._policies.find(record, progress)
        is_known = job_id in schedule.jobs
        if not reason:
            try:
                job = schedule.add_job(
                    job_id,
                    record,
                    policy,
                    progress,
                    clock.unix_ms(),
                    clock.now(),
                )
                apply_policy(schedule, job, job.policy, clock.unix_ms())
                self._policies.log_unknown(job)
                if job.is_over_share and not is_known:
                    log_over_share(self._context, schedule, job)
                self._policies.keep(job)
                return job
            except Exception as defect:
                self._context.metrics.count("defects")
                reason = f"unexpected error: {describe_error(defect)}"
        job = schedule.add_unscheduled_job(job_id, record, policy, progress)
        if not job.is_final:
            self.set_aside(job, reason)
        return job

    def _apply_stored_cancel(self, job: Job) -> None:
        """Apply a cancel whose row arrived before the job's."""
        if self._jobs_replica.has(
            self._schedule.pool, CANCEL_PREFIX + job.job_id
        ):
            self._schedule.cancel_job(
                job.job_id, self._context.clock.unix_ms()
            )

    def _on_plan(self, row: StoredRow) -> None:
        """Apply the fleet plan's orders to drain hosts of this pool."""
        if row.key != PLAN_KEY:
            return
        plan = decode_plan(row.value or b"")
        if plan is None:
            log_change("row-unreadable", table=row.table, key=row.key)
            return
        now = self._context.clock.now()
        for host, order in plan.orders.items():
            if order.target == self._schedule.pool:
                self._arriving_hosts[host] = now
        self.drain_orders = {
            host: order.number
            for host, order in plan.orders.items()
            if order.pool == self._schedule.pool
        }
        self._on_change()
