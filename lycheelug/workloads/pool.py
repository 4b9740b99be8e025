"""The schedule of one pool: jobs and executors in, orders out; no I/O.

The pool's owner feeds in what it learns (jobs, cancels, executors, their
lists, answers to orders) and takes the orders that `plan` returns.  Rules
that the order of steps below keeps:

* A job's first start comes after the store has the mark that it has begun
  (`jobs_to_begin`), so that a later owner may start any
  job without the mark at once.
* A start without an answer keeps the task placed and its room taken.  The
  next lists show the run, or it is stopped; only an answered stop and a
  list after it free the task.
* A run that may live on a silent executor is given up only when every
  lease that was ordered there has ended, and the store has said since then
  that there is no newer owner, who might have extended it.
* After a takeover, a task of a job that has begun waits until each
  executor that may run it has answered the new fencing token or its
  lease has ended.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.demand import Arrivals, expected_work
from lycheelug.workloads.executors import ExecutorView, Run, RunPhase
from lycheelug.workloads.jobs import Job, Task, TaskState
from lycheelug.workloads.orders import (
    PaceOrder,
    StartOrder,
    StopOrder,
    find_stop_reason,
)
from lycheelug.workloads.pacing import plan_pace
from lycheelug.workloads.placement_hints import PlacementHints, StepName
from lycheelug.workloads.relocation import mark_relocations
from lycheelug.workloads.runtimes import RunTimes
from lycheelug.workloads.stalls import STALLED, runs_to_duplicate, stalled_runs
from lycheelug.workloads.starts import plan_starts

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorInfo
    from lycheelug.workloads.model import JobRecord, QueuePolicy, TaskName
    from lycheelug.workloads.progress import ProgressRecord

__all__ = ["PoolSchedule"]

# An executor that refused a start gets none for this long.
START_BACKOFF_S: Final = 0.5


class PoolSchedule:
    """All jobs and executors of one pool under one term."""

    __slots__ = (
        "_earlier_leases_end_at",
        "_ended_incarnations",
        "_relocate_after",
        "arrivals",
        "executors",
        "hint_requests",
        "jobs",
        "lease_s",
        "placement",
        "placement_hints",
        "pool",
        "ready",
        "run_counts",
        "run_times",
        "term",
    )

    def __init__(
        self,
        pool: str,
        term: int,
        lease_s: float,
        earlier_leases_end_at: float,
        placement: str = "together",
        relocate_after: float = 0.0,
    ) -> None:
        self.pool = pool
        self.term = term
        self.lease_s = lease_s
        self.placement = placement
        # Local time before which no lasting task is moved away.
        self._relocate_after = relocate_after
        # Local time after which no earlier owner's lease can hold.
        self._earlier_leases_end_at = earlier_leases_end_at
        self.run_times = RunTimes()
        self.arrivals = Arrivals()
        self.placement_hints = PlacementHints()
        # Steps that wait for advice, with the executors to ask for.
        self.hint_requests: dict[StepName, list[str]] = {}
        self.jobs: dict[str, Job] = {}
        self.executors: dict[str, ExecutorView] = {}
        # Tasks that wait for a place.
        self.ready: dict[TaskName, Task] = {}
        # Lives known to be over: when they began, by executor.
        self._ended_incarnations: dict[str, int] = {}
        # Known runs of each task, wanted or not.
        self.run_counts: Counter[TaskName] = Counter()

    # --- Jobs.

    def add_job(
        self,
        job_id: str,
        record: JobRecord,
        policy: QueuePolicy,
        progress: ProgressRecord | None,
        unix_ms: int,
        now: float,
    ) -> Job:
        """Take in a job; a second time changes nothing."""
        known = self.jobs.get(job_id)
        if known is not None:
            return known
        job = Job(job_id, record, policy, progress)
        is_new = progress is None or progress.begun_term == self.term
        if is_new and not job.is_long_running:
            self.arrivals.record(expected_work(record, self.run_times), now)
        self.jobs[job_id] = job
        self.open_due_occurrences(job, unix_ms, now)
        return job

    def open_due_occurrences(self, job: Job, unix_ms: int, now: float) -> None:
        """Open a job's occurrences that are due."""
        for task in job.open_due_occurrences(unix_ms, now):
            self.ready[task.name] = task

    def cancel_job(self, job_id: str, unix_ms: int) -> Job | None:
        """Take in a cancel; what runs is stopped by the next plan."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return job
        job.cancel(unix_ms)
        self.dequeue_job(job)
        return job

    def dequeue_job(self, job: Job) -> None:
        """Withdraw the waiting tasks of a job that is over."""
        for task in job.tasks():
            self.ready.pop(task.name, None)

    def forget_job(self, job_id: str) -> None:
        """Drop a job that is over and that nobody asks for any more."""
        self.placement_hints.forget_job(job_id)
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.dequeue_job(job)

    def finished_before(self, unix_ms: int) -> list[Job]:
        """Return jobs that became final before a Unix time, and are stored."""
        found: list[Job] = []
        for job in self.jobs.values():
            if not job.is_final or job.is_dirty:
                continue
            if job.progress.final_ms < unix_ms:
                found.append(job)
        return found

    def jobs_to_begin(self) -> list[Job]:
        """Return waiting jobs that lack the mark of having begun."""
        found: dict[str, Job] = {}
        for task in self.ready.values():
            if not task.job.progress.begun_term:
                found[task.job.job_id] = task.job
        return list(found.values())

    def requeue(self, task: Task, now: float) -> None:
        """Make a placed task wait for a place again."""
        if task.state is not TaskState.PLACED:
            return
        task.state = TaskState.READY
        task.executor_id = ""
        task.run = 0
        task.ready_at = now
        if not task.job.is_final:
            self.ready[task.name] = task

    def make_ready(self, tasks: list[Task]) -> None:
        """Queue tasks whose turn has come."""
        for task in tasks:
            self.ready[task.name] = task

    def dequeue(self, task: Task) -> None:
        """Take a task that is done or exhausted out of the queue."""
        self.ready.pop(task.name, None)

    # --- Executors.

    def observe_executor(self, info: ExecutorInfo) -> ExecutorView:
        """Take in an executor's entry."""
        view = self.executors.get(info.executor_id)
        if view is None:
            view = ExecutorView(
                info, self._earlier_leases_end_at, self.run_counts
            )
            self.executors[info.executor_id] = view
            return view
        view.info = info
        view.has_entry = True
        return view

    def mark_entry_removed(self, executor_id: str) -> None:
        """Take in that an executor's entry is gone: no new tasks there."""
        view = self.executors.get(executor_id)
        if view is not None:
            view.has_entry = False

    def unresponsive_executors(self) -> list[ExecutorView]:
        """Return the executors that do not answer this owner now."""
        found: list[ExecutorView] = []
        for view in self.executors.values():
            if view.last_report_at is None:
                found.append(view)
        return found

    def remove_executor(self, executor_id: str, now: float) -> list[Run]:
        """Take in that an executor is gone for sure; free its tasks."""
        view = self.executors.pop(executor_id, None)
        if view is None:
            return []
        born_ms = max(view.born_ms, view.info.born_ms)
        self._ended_incarnations[executor_id] = born_ms
        return self.clear_runs(view, now)

    def is_stale_entry(self, info: ExecutorInfo) -> bool:
        """Whether an entry is what an ended life has left behind."""
        ended_ms = self._ended_incarnations.get(info.executor_id)
        return ended_ms is not None and info.born_ms <= ended_ms

    def clear_runs(self, view: ExecutorView, now: float) -> list[Run]:
        """Free all tasks of an executor on which nothing runs."""
        cleared = list(view.runs.values())
        for run in cleared:
            view.drop_run(run.key)
            self.free_task(run, view, now)
        return cleared

    def free_task(self, run: Run, view: ExecutorView, now: float) -> None:
        """Queue a run's task again, unless it has another run."""
        task = run.task
        if task is None or task.state is not TaskState.PLACED:
            return
        if task.executor_id != view.executor_id or task.run != run.run:
            return
        self.requeue(task, now)

    # --- Orders.

    def plan(
        self, now: float, verified_at: float, unix_ms: int = 0
    ) -> list[StartOrder | StopOrder | PaceOrder]:
        """Return the orders that are due now.

        At `verified_at` the store was asked whether this owner still is
        the owner, and said so.
        """
        orders: list[StartOrder | StopOrder | PaceOrder] = []
        for view in list(self.executors.values()):
            self._free_expired(view, now, verified_at)
            for run in runs_to_duplicate(view):
                # A second run may race the one that can't be seen.
                self.free_task(run, view, now)
                run.task = None
            for run in stalled_runs(view, self.run_times):
                view.health.record_stall(now)
                run.phase = RunPhase.STOPPING
                run.stop_reason = STALLED
                if run.task is not None:
                    run.task.avoided_executor = view.executor_id
            is_leaving = view.drain_order or view.info.draining
            if is_leaving and now >= self._relocate_after:
                mark_relocations(view, self.executors, now)
            orders.extend(self._plan_stops(view, now))
            for run in plan_pace(view):
                run.pace = view.pace
                orders.append(
                    PaceOrder(
                        view.executor_id, run.task_name, run.run, run.pace
                    )
                )
        orders.extend(plan_starts(self, now, unix_ms))
        return orders

    def _free_expired(
        self, view: ExecutorView, now: float, verified_at: float
    ) -> None:
        """Free what ran on an executor whose last lease has ended.

        A new owner may have extended the lease, so the ownership must have
        been proved after that end.
        """
        if now < view.leases_end_at or verified_at < view.leases_end_at:
            return
        self.clear_runs(view, now)
        if not view.has_entry:
            self.executors.pop(view.executor_id, None)

    def _plan_stops(self, view: ExecutorView, now: float) -> list[StopOrder]:
        """Return the stops that an executor is to be sent."""
        stops: list[StopOrder] = []
        for run in view.runs.values():
            reason = find_stop_reason(run, view, now)
            if reason:
                run.phase = RunPhase.STOPPING
                run.stop_reason = run.stop_reason or reason
            if run.phase is not RunPhase.STOPPING or run.stop_sent:
                continue
            if run.task is None and view.last_report_at is None:
                # A duplicate; it is stopped once its executor is back.
                continue
            run.stop_sent = True
            stops.append(
                StopOrder(
                    view.executor_id,
                    run.task_name,
                    run.run,
                    run.stop_reason,
                )
            )
        return stops

    def place(
        self, task: Task, view: ExecutorView, now: float, run: int = 0
    ) -> StartOrder:
        """Reserve room for a task's next run and return its start."""
        run = run or task.next_run_number(self.term)
        task.state = TaskState.PLACED
        task.executor_id = view.executor_id
        task.run = run
        task.last_run = run
        task.job.home_zone = view.info.zone
        self.ready.pop(task.name, None)
        view.add_run(Run(task.name, run, task.step.resources, now, task))
        view.record_lease(now, self.lease_s)
        ticket = ""
        if task.job.policy.needs_placement_hint:
            step = StepName.of(task.name)
            ticket = (
                self.placement_hints.ticket(step, view.executor_id, now) or ""
            )
        return StartOrder(view.executor_id, task, run, ticket)

    def earlier_runs_known(self, now: float) -> bool:
        """Whether no run of an earlier owner can be unseen."""
        if now >= self._earlier_leases_end_at:
            return True
        for view in self.executors.values():
            if not view.has_accepted_term and now < view.leases_end_at:
                return False
        return True
