"""Owns one pool for one term and executes its schedule.

Its feeds bring submissions, cancels and drain orders.  One asyncio task
polls each executor, one writes progress, and one plans and sends orders.
All writes have the condition that the owner's row is unchanged, so an owner
that was replaced can't write any more, even if it has not noticed that yet.
Its orders carry a lower fencing token than those of the new owner.

While the last proof of ownership is older than `OWNERSHIP_VALID_S`, the
owner extends no leases and starts nothing.  The next owner relies on that
for executors that it can't reach itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lycheelug.jobservice.executor_entries import apply_entries
from lycheelug.jobservice.executor_list import LIST_AGE_MAX_S
from lycheelug.jobservice.executor_loop import ExecutorLoop
from lycheelug.jobservice.interfaces import Rejection, SubmissionAnswer
from lycheelug.jobservice.order_sender import OrderSender
from lycheelug.jobservice.plan_step import make_plan
from lycheelug.jobservice.pool_admission import PoolAdmission
from lycheelug.jobservice.pool_cleanup import (
    remove_ended_incarnations,
    remove_finished_jobs,
)
from lycheelug.jobservice.pool_feeds import PoolFeeds
from lycheelug.jobservice.pool_log import PoolLog
from lycheelug.jobservice.pool_recovery import recover_pool
from lycheelug.jobservice.progress_writer import ProgressWriter
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.jobservice.submission_queue import (
    SubmissionQueue,
    answer_repeated,
)
from lycheelug.jobservice.tenant_ledger import TenantLedger
from lycheelug.logs import log_change
from lycheelug.ownership import WorkProgress
from lycheelug.supervision import describe_error
from lycheelug.tenants import is_foreign
from lycheelug.workloads import PoolSchedule
from lycheelug.workloads.executors import CLOCK_DRIFT
from lycheelug.workloads.open_occurrences import next_due_ms

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.interfaces import (
        SubmissionOutcome,
        WaitingCount,
    )
    from lycheelug.workloads import Job, JobRecord

__all__ = ["OWNERSHIP_VALID_S", "PoolOwner"]

# How long a proof of ownership is valid.  Without a newer one an owner
# extends no leases.  Together with the duration of a lease, runs survive a
# store outage of 6 s.
OWNERSHIP_VALID_S: Final = 4.0
# No long-running task is relocated for this long after a takeover.  A run
# that the last owner has stopped is reported as running until its grace
# period (0.4 s) has passed, so at first the new owner would count too few
# tasks of a step as unavailable and relocate too many at once.
RELOCATE_AFTER_S: Final = 1.5
# An owner that hears none of its executors is cut off from them only if there
# are at least as many.
CUT_OFF_EXECUTORS_MIN: Final = 3
# The schedule is planned at least this often, even without an event.
TICK_S: Final = 0.1
# The minimum pause after a plan.  Events that arrive within it share the
# next plan, as its cost grows with the pool and not with the events.
PLAN_MIN_INTERVAL_S: Final = 0.015


class PoolOwner:
    """The owner of one pool for one term."""

    __slots__ = (
        "_admission",
        "_context",
        "_is_scheduling",
        "_loops",
        "_sender",
        "_tasks",
        "_wake",
        "feeds",
        "ledger",
        "log",
        "lost",
        "owner_version",
        "pool",
        "schedule",
        "submission_queue",
        "term",
        "verified_at",
        "work",
        "writer",
    )

    def __init__(
        self,
        context: OwnerContext,
        pool: str,
        term: int,
        owner_version: int,
        stalled_before: int = 0,
    ) -> None:
        self._context = context
        self.pool = pool
        # Attempts to write the pool's rows; one succeeds if what the schedule
        # is based on is current.
        self.work = WorkProgress(stalled_before)
        self.term = term
        # The version of the owner row, the condition of all writes.
        self.owner_version = owner_version
        now = context.clock.now()
        # Local time at which the last successful proof of ownership was
        # requested.
        self.verified_at = now
        # The last owner may have extended leases until its own proof of
        # ownership became invalid.
        earlier_leases_end_at = (
            now + OWNERSHIP_VALID_S + context.lease_s / (1 - CLOCK_DRIFT)
        )
        self.schedule = PoolSchedule(
            pool,
            term,
            context.lease_s,
            earlier_leases_end_at,
            relocate_after=now + RELOCATE_AFTER_S,
            ordering=context.overload.ordering,
            lease_max_s=context.lease_max_s,
        )
        self.schedule.neighbors.is_enabled = context.keeps_apart
        self.log = PoolLog(context.clock, self.schedule)
        self.submission_queue = SubmissionQueue(pool, term)
        self.writer = ProgressWriter(context, self)
        self._sender = OrderSender(context, self)
        self.feeds = PoolFeeds(
            context, self.schedule, self.submission_queue, self.wake
        )
        self.ledger = TenantLedger(context, self)
        self._admission = PoolAdmission(context, self.schedule, self.feeds)
        # Whether all that the schedule needs was read.
        self._is_scheduling = False
        self._loops: dict[str, ExecutorLoop] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        # Set once another owner was seen, or the pool is handed over.
        self.lost = asyncio.Event()

    @property
    def is_verified(self) -> bool:
        """Whether the last proof of ownership is still valid."""
        age_s = self._context.clock.now() - self.verified_at
        return age_s < OWNERSHIP_VALID_S and not self.lost.is_set()

    @property
    def is_current(self) -> bool:
        """Whether the schedule runs on what was read lately."""
        if self._context.executor_list_age_s() >= LIST_AGE_MAX_S:
            return False
        is_fresh = self._is_scheduling and self.feeds.is_fresh
        return is_fresh and self._reaches_executors()

    def _reaches_executors(self) -> bool:
        """Whether any executor answers, unless there are only a few.

        The few of a small pool may all be moved or in maintenance at once.
        """
        listed = 0
        for view in self.schedule.executors.values():
            if not view.has_entry or view.info.draining:
                continue
            if view.last_report_at is not None:
                return True
            listed += 1
        return listed < CUT_OFF_EXECUTORS_MIN

    async def run(self) -> None:
        """Recover the pool and run its schedule until it is lost."""
        self.work.record_attempt(self._context.clock.now())
        try:
            if not await recover_pool(self._context, self):
                return
            for work in self.feeds.works():
                self.spawn(work)
            self.spawn(self.writer.run())
            self.spawn(self.ledger.run())
            self.spawn(remove_ended_incarnations(self._context, self))
            self.spawn(remove_finished_jobs(self._context, self))
            await self._run_schedule()
        finally:
            self.stop()

    async def hand_over(self) -> None:
        """Stop sending orders and store unwritten progress."""
        self.lost.set()
        await self.writer.flush()
        self.submission_queue.close()

    def stop(self) -> None:
        """Cancel the pool's tasks and close its connections."""
        self.submission_queue.close()
        for task in self._tasks:
            task.cancel()
        for loop in self._loops.values():
            self._context.gateway.forget(loop.info)
        self._loops.clear()

    def on_progress_stored(self) -> None:
        """Let the polls continue that wait for the store."""
        for loop in self._loops.values():
            loop.on_ends_stored()

    def on_start_answered(self, executor_id: str) -> None:
        """Let a poll continue that waits for the answer of a start."""
        loop = self._loops.get(executor_id)
        if loop is not None:
            loop.on_start_answered()

    def wake(self) -> None:
        """Plan again without waiting for the next tick."""
        self._wake.set()

    def revoke(self, reason: str) -> None:
        """Give up the pool because it has another owner."""
        if not self.lost.is_set():
            log_change(
                "pool-lost", pool=self.pool, term=self.term, reason=reason
            )
        self.lost.set()
        self.wake()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task until the pool is given up."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Remove a task; an exception in it is logged and ends ownership."""
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.report_defect("owner", error)
            self.revoke("defect")

    def report_defect(
        self, task: str, error: BaseException, job: Job | None = None
    ) -> None:
        """Log an unexpected error and set aside the job that caused it.

        The next owner would meet the same error with the same job.
        """
        job = job or self.schedule.handled_job
        self.schedule.handled_job = None
        reason = describe_error(error)
        log_change(
            "defect",
            pool=self.pool,
            task=task,
            job=job.job_id if job is not None else "",
            error=reason,
        )
        self._context.metrics.count("defects")
        if job is not None:
            self.feeds.set_aside(job, f"unexpected error: {reason}")

    # --- Submissions from callers.

    async def submit(
        self, job_id: str, record: JobRecord, gates: GateVersions = NO_GATES
    ) -> SubmissionOutcome:
        """Store a submission with the next transaction, or reject it."""
        known = self.schedule.jobs.get(job_id)
        if known is not None:
            return answer_repeated(known.record.tenant, record.tenant)
        ended = self.schedule.ended_jobs.find(job_id)
        if ended is not None:
            return answer_repeated(ended.tenant, record.tenant)
        if not self._takes_submissions():
            self._admission.record_passed(job_id, record)
            return SubmissionAnswer.NOT_TAKEN
        reviewed = self._admission.review(job_id, record, self.is_current)
        if isinstance(reviewed, Rejection):
            return reviewed
        self._admission.record_passed(job_id, record)
        submission = self.submission_queue.add(
            job_id, reviewed, self._context.clock.now(), gates
        )
        if is_foreign(submission.record.tenant, record.tenant):
            return SubmissionAnswer.FOREIGN
        self.writer.wake_if_needed()
        return await asyncio.shield(submission.answer)

    def _takes_submissions(self) -> bool:
        """Whether this owner can store submissions now."""
        if not self.feeds.has_jobs or self.lost.is_set():
            return False
        if not self.is_verified or self._context.is_store_unreachable():
            return False
        return not self.work.is_stalled(self._context.clock.now(), delay_s=0.0)

    def count_waiting(self, queue: str, address: str = "") -> WaitingCount:
        """Count a queue's accepted jobs that have not started."""
        if self.lost.is_set():
            return None
        return self.feeds.count_waiting(queue, address)

    # --- Orders.

    async def _run_schedule(self) -> None:
        """Plan and send orders until the pool is lost.

        All jobs are loaded before the first poll of an executor, because
        a reported run is matched to its job.  An executor that is missing
        in an incomplete list would count as removed.
        """
        await self.feeds.wait_loaded()
        if self._context.wait_for_executors is not None:
            await self._context.wait_for_executors()
        self._is_scheduling = True
        was_current = False
        while not self.lost.is_set():
            is_current = self.is_current
            if is_current and not was_current:
                self.writer.verify_soon()
            was_current = is_current
            self._sync_executors()
            self._open_due_occurrences()
            self.writer.wake_if_needed()
            took_s = 0.0
            if self.is_verified:
                began = self._context.clock.now()
                orders = make_plan(self._context, self)
                took_s = self._context.clock.now() - began
                if self.schedule.budget.is_spent:
                    self.wake()
                await self._sender.send_all(orders)
                for step, executor_ids in self.schedule.hint_requests.items():
                    self._sender.request_placement_hint(step, executor_ids)
                self.schedule.hint_requests.clear()
            await self._wait_for_wake(took_s)

    async def _wait_for_wake(self, took_s: float) -> None:
        """Wait for an event or the next tick, and for the minimum pause.

        An event after the pause is acted on at once.  `took_s` is the
        duration of the last plan, whose successor gives way to the other
        tasks of the daemon for at least as long.
        """
        clock = self._context.clock
        plan_from = clock.now() + max(PLAN_MIN_INTERVAL_S, took_s)
        try:
            async with asyncio.timeout(TICK_S):
                await self._wake.wait()
        except TimeoutError:
            return
        pause_s = plan_from - clock.now()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        self._wake.clear()

    def _sync_executors(self) -> None:
        """Apply the store's list of executors."""
        apply_entries(
            self.schedule,
            self._context.executors(self.pool),
            self.feeds.drain_orders,
        )
        for executor_id, view in self.schedule.executors.items():
            known = self._loops.get(executor_id)
            if known is not None:
                known.on_entry(view)
            if known is None or known.is_stopped:
                loop = ExecutorLoop(self._context, self, executor_id)
                self._loops[executor_id] = loop
                self.spawn(loop.run())
        for executor_id in list(self._loops):
            if executor_id not in self.schedule.executors:
                self._loops.pop(executor_id).stop()

    def _open_due_occurrences(self) -> None:
        """Open the due occurrences of jobs with a schedule."""
        unix_ms = self._context.clock.unix_ms()
        for job in self.schedule.job_index.periodic.values():
            due_ms = next_due_ms(job)
            if due_ms is not None and due_ms <= unix_ms:
                self.schedule.open_due_occurrences(
                    job, unix_ms, self._context.clock.now()
                )
