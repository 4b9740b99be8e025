"""Owns one pool under one term: drives its schedule against the world.

One task follows submissions and cancels, one looks at each executor, one
writes progress, and one sends orders.  All writes carry the condition that
the owner's row is unchanged, so an owner that was replaced, whatever it
believes, writes nothing any more; its orders carry a lower fencing token.

While it can't prove its ownership (`VERIFY_S`), it extends no leases and
starts nothing: the next owner counts on that for executors that it can't
reach itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan import (
    PLAN_KEY,
    PLANS_TABLE,
    decode_plan,
)
from lycheelug.jobservice.executor_loop import ExecutorLoop
from lycheelug.jobservice.intake import Intake
from lycheelug.jobservice.interfaces import IntakeAnswer
from lycheelug.jobservice.order_sender import OrderSender
from lycheelug.jobservice.pool_cleanup import (
    remove_ended_incarnations,
    remove_finished_jobs,
)
from lycheelug.jobservice.pool_recovery import recover_pool
from lycheelug.jobservice.progress_writer import ProgressWriter
from lycheelug.jobservice.tables import (
    CANCEL_PREFIX,
    FLEET_PART,
    JOB_PREFIX,
    decode_job,
    jobs_table,
)
from lycheelug.logs import log_change
from lycheelug.store.replica import TableReplica
from lycheelug.workloads import (
    PoolSchedule,
    QueuePolicy,
)
from lycheelug.workloads.executors import CLOCK_DRIFT

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.intake import Submission
    from lycheelug.store.rows import StoredRow
    from lycheelug.workloads import Job, JobRecord, ProgressRecord

__all__ = ["OWNERSHIP_VALID_S", "PoolOwner"]

# Without proof of its ownership for this long an owner extends nothing.
# With a lease more, what runs outlasts an outage of the store of 6 s.
OWNERSHIP_VALID_S: Final = 4.0
# A run that the last owner has stopped is listed as at work until its grace
# has passed (0.4 s), so a new owner counts too few as away at first.
RELOCATE_AFTER_S: Final = 1.5
# Submissions are gathered for this long between two calls to the feed.
FEED_PAUSE_S: Final = 0.03
# The schedule is looked at this often even if nothing happened.
TICK_S: Final = 0.1


class PoolOwner:
    """One pool in this daemon's hands."""

    __slots__ = (
        "_context",
        "_drain_orders",
        "_jobs_replica",
        "_loops",
        "_plan_replica",
        "_sender",
        "_tasks",
        "_wake",
        "intake",
        "lost",
        "owner_version",
        "pool",
        "schedule",
        "stored_progress",
        "term",
        "verified_at",
        "writer",
    )

    def __init__(
        self,
        context: OwnerContext,
        pool: str,
        term: int,
        owner_version: int,
    ) -> None:
        self._context = context
        self.pool = pool
        self.term = term
        # The owner row's version, the condition of all writes.
        self.owner_version = owner_version
        now = context.clock.now()
        # Local time at which the last proof of ownership was asked for.
        self.verified_at = now
        # The last owner may have gone on for as long as it needs no proof.
        earlier_leases_end_at = (
            now + OWNERSHIP_VALID_S + context.lease_s * (1 + CLOCK_DRIFT)
        )
        self.schedule = PoolSchedule(
            pool,
            term,
            context.lease_s,
            earlier_leases_end_at,
            relocate_after=now + RELOCATE_AFTER_S,
        )
        self.intake = Intake(pool, term)
        self.writer = ProgressWriter(context, self)
        self._sender = OrderSender(context, self)
        self._jobs_replica = TableReplica(
            context.store,
            jobs_table(pool),
            self._on_row,
            part=pool,
            pause_s=FEED_PAUSE_S,
        )
        self._plan_replica = TableReplica(
            context.store, PLANS_TABLE, self._on_plan, part=FLEET_PART
        )
        # The planner's orders to empty hosts: numbers by host.
        self._drain_orders: dict[str, str] = {}
        # Progress that a former owner stored, until its job is known.
        self.stored_progress: dict[str, tuple[ProgressRecord, int]] = {}
        self._loops: dict[str, ExecutorLoop] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        # Set once another owner was seen.
        self.lost = asyncio.Event()

    @property
    def is_verified(self) -> bool:
        """Whether the ownership was proved lately enough."""
        return self._context.clock.now() - self.verified_at < OWNERSHIP_VALID_S

    async def run(self) -> None:
        """Own the pool until it is lost or this is cancelled."""
        try:
            if not await recover_pool(self._context, self):
                return
            self.spawn(self._plan_replica.run())
            self.spawn(self._jobs_replica.run())
            self.spawn(self.writer.run())
            self.spawn(remove_ended_incarnations(self._context, self))
            self.spawn(remove_finished_jobs(self._context, self))
            await self._run_schedule()
        finally:
            self.stop()

    async def hand_over(self) -> None:
        """Send nothing more, and store what is known."""
        self.lost.set()
        await self.writer.flush()
        self.intake.close()

    def stop(self) -> None:
        """End all that runs for the pool here."""
        self.intake.close()
        for task in self._tasks:
            task.cancel()
        for loop in self._loops.values():
            self._context.gateway.forget(loop.info)
        self._loops.clear()

    def on_progress_stored(self) -> None:
        """Let the looks go on that wait for the store."""
        for loop in self._loops.values():
            loop.on_ends_stored()

    def wake(self) -> None:
        """Look at the schedule soon."""
        self._wake.set()

    def revoke(self, reason: str) -> None:
        """Give the pool up: another owner was seen."""
        if not self.lost.is_set():
            log_change(
                "pool-lost", pool=self.pool, term=self.term, reason=reason
            )
        self.lost.set()
        self.wake()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run something until the pool is given up."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Forget a task; a defect in it is logged and ends the ownership."""
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_change("defect", pool=self.pool, error=repr(error))
            self.revoke("defect")

    # --- Submissions from callers.

    async def submit(self, job_id: str, record: JobRecord) -> IntakeAnswer:
        """Store a submission with the next transaction."""
        if job_id in self.schedule.jobs:
            return IntakeAnswer.KNOWN
        if not self._jobs_replica.loaded.is_set() or self.lost.is_set():
            return IntakeAnswer.NOT_TAKEN
        if not self.is_verified or self._context.is_store_unreachable():
            return IntakeAnswer.NOT_TAKEN
        submission = self.intake.add(job_id, record)
        self.writer.wake_if_needed()
        return await asyncio.shield(submission.answer)

    def add_stored_submission(
        self, submission: Submission, version: int
    ) -> None:
        """Take in a submission that was stored here.

        The table's feed may have told of it first, without its mark.
        """
        clock = self._context.clock
        job_id = submission.job_id
        job = self.schedule.add_job(
            job_id,
            submission.record,
            self._policy(submission.record.queue),
            submission.progress,
            clock.unix_ms(),
            clock.now(),
        )
        if submission.progress is not None:
            job.record_begin_stored(self.term, version)
        self._apply_stored_cancel(job)
        submission.resolve(IntakeAnswer.STORED)

    # --- The store's rows.

    def _on_row(self, row: StoredRow) -> None:
        """Take in a submission or a cancel."""
        clock = self._context.clock
        if row.value is None:
            return
        if row.key.startswith(CANCEL_PREFIX):
            job = self.schedule.cancel_job(
                row.key[len(CANCEL_PREFIX) :], clock.unix_ms()
            )
            if job is not None:
                self.wake()
            return
        if not row.key.startswith(JOB_PREFIX):
            return
        job_id = row.key[len(JOB_PREFIX) :]
        record = decode_job(row.value)
        if record is None:
            log_change("row-unreadable", table=row.table, key=row.key)
            self._context.metrics.count("rows-unreadable")
            return
        progress, version = self.stored_progress.pop(job_id, (None, 0))
        job = self.schedule.add_job(
            job_id,
            record,
            self._policy(record.queue),
            progress,
            clock.unix_ms(),
            clock.now(),
        )
        job.row_version = max(job.row_version, version)
        self._apply_stored_cancel(job)
        self.wake()

    def _apply_stored_cancel(self, job: Job) -> None:
        """Apply a cancel whose row came before the job's."""
        if self._jobs_replica.has(self.pool, CANCEL_PREFIX + job.job_id):
            self.schedule.cancel_job(job.job_id, self._context.clock.unix_ms())

    def _on_plan(self, row: StoredRow) -> None:
        """Take in which hosts are to be emptied."""
        if row.key != PLAN_KEY:
            return
        plan = decode_plan(row.value or b"")
        if plan is None:
            log_change("row-unreadable", table=row.table, key=row.key)
            return
        self._drain_orders = {
            host: order.number
            for host, order in plan.orders.items()
            if order.pool == self.pool
        }
        self.wake()

    def _policy(self, queue: str) -> QueuePolicy:
        """Return a queue's policy; a queue that is gone keeps defaults."""
        configuration = self._context.configuration()
        route = configuration.find_queue(queue) if configuration else None
        if route is None:
            return QueuePolicy(queue, self.pool)
        return QueuePolicy(
            queue,
            self.pool,
            priority=route.priority,
            max_attempts=route.max_attempts,
            stretch=route.stretch,
            objective_s=route.objective_s,
            needs_placement_hint=route.needs_placement_hint,
        )

    # --- Orders.

    async def _run_schedule(self) -> None:
        """Plan and send orders until the pool is lost.

        All jobs are known before the first look at an executor: a run is
        judged by its job.
        """
        await self._jobs_replica.loaded.wait()
        await self._plan_replica.loaded.wait()
        while not self.lost.is_set():
            self._sync_executors()
            self._open_due_occurrences()
            self.writer.wake_if_needed()
            if self.is_verified:
                for order in self.schedule.plan(
                    self._context.clock.now(),
                    self.verified_at,
                    self._context.clock.unix_ms(),
                ):
                    self._sender.send(order)
                for step, wanted in self.schedule.hint_requests.items():
                    self._sender.request_placement_hint(step, wanted)
                self.schedule.hint_requests.clear()
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                continue
            self._wake.clear()

    def _sync_executors(self) -> None:
        """Follow the store's list of executors."""
        listed = set()
        for info in self._context.executors(self.pool):
            if self.schedule.is_stale_entry(info):
                continue
            listed.add(info.executor_id)
            view = self.schedule.observe_executor(info)
            view.drain_order = self._drain_orders.get(info.host, "")
        for executor_id in list(self.schedule.executors):
            if executor_id not in listed:
                self.schedule.mark_entry_removed(executor_id)
        for executor_id in self.schedule.executors:
            if executor_id not in self._loops:
                loop = ExecutorLoop(self._context, self, executor_id)
                self._loops[executor_id] = loop
                self.spawn(loop.run())
        for executor_id in list(self._loops):
            if executor_id not in self.schedule.executors:
                self._loops.pop(executor_id).stop()

    def _open_due_occurrences(self) -> None:
        """Open occurrences of scheduled jobs whose time has come."""
        unix_ms = self._context.clock.unix_ms()
        for job in self.schedule.jobs.values():
            due_ms = job.next_due_ms() if job.record.schedule else None
            if due_ms is not None and due_ms <= unix_ms:
                self.schedule.open_due_occurrences(
                    job, unix_ms, self._context.clock.now()
                )
