"""The schedule of one pool: jobs and executors in, orders out; no I/O.

The pool's owner feeds in its observations (jobs, cancellations, executors,
task reports, answers to orders) and sends the orders that `plan` returns.
No task may have two runs at the same time unless its step allows that.  The
schedule ensures this across lost messages and changes of owner by these
rules:

* No task of a job is started before the store has the job's begun mark
  (`jobs_to_begin`), so a later owner may start any job without the mark
  immediately.
* An unanswered start leaves the task placed and its resources reserved.
  Either a later report shows the run, or the run is stopped; the task is
  freed only by an answered stop and a report requested after that answer.
* A run on an unresponsive executor is given up only once every lease
  granted there has ended, and the store has since confirmed that there is
  no newer owner, who could have extended the lease.  That is later for a
  start that another incarnation of the executor may carry out.
* After a takeover, a task of a begun job isn't started until each executor
  that may be running it has acknowledged the new term or its lease has
  ended.

Which executor a task gets, and in which order tasks are placed, is decided
in `placement` and `ready_queue`.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.tenants.shares import PoolShares
from lycheelug.workloads.crashes import CrashLedger
from lycheelug.workloads.demand import Arrivals, expected_work
from lycheelug.workloads.earlier_runs import are_earlier_runs_known
from lycheelug.workloads.ended_jobs import EndedJobs
from lycheelug.workloads.executors import LATE_CALL_S, ExecutorView
from lycheelug.workloads.incarnations import EndedIncarnations
from lycheelug.workloads.isolation import Isolation
from lycheelug.workloads.job_index import JobIndex
from lycheelug.workloads.jobs import Job, Task, TaskState
from lycheelug.workloads.late_starts import LateStarts
from lycheelug.workloads.losses import LossCause
from lycheelug.workloads.lost_runs import clear_runs, free_expired_runs
from lycheelug.workloads.neighbors import Neighbors
from lycheelug.workloads.open_occurrences import count_to_open
from lycheelug.workloads.order_tokens import TokenSource
from lycheelug.workloads.orders import (
    PaceOrder,
    StartOrder,
    StopOrder,
    is_undisturbed,
    plan_stops,
)
from lycheelug.workloads.pacing import plan_pace
from lycheelug.workloads.placement_hints import PlacementHints, StepName
from lycheelug.workloads.plan_budget import PlanBudget
from lycheelug.workloads.ready_queue import DEFAULT_ORDERING, ReadyQueue
from lycheelug.workloads.relocation import Relocations
from lycheelug.workloads.runs import Run, RunPhase
from lycheelug.workloads.runtimes import RunTimes
from lycheelug.workloads.stalls import STALLED, runs_to_duplicate, stalled_runs
from lycheelug.workloads.starts import plan_starts

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorInfo
    from lycheelug.workloads.model import JobRecord, QueuePolicy, TaskName
    from lycheelug.workloads.progress import ProgressRecord
    from lycheelug.workloads.step_tasks import StepTasks

__all__ = ["PoolSchedule"]

# An executor that lacked free capacity or could not be connected to gets no
# starts for this long.
START_BACKOFF_S: Final = 0.5


class PoolSchedule:
    """All jobs and executors of one pool during one term of ownership."""

    __slots__ = (
        "_earlier_leases_end_at",
        "_late_s",
        "_lease_max_s",
        "_token_source",
        "are_used_executors_known",
        "arrivals",
        "budget",
        "crashes",
        "ended_incarnations",
        "ended_jobs",
        "executors",
        "handled_job",
        "hint_requests",
        "is_capacity_current",
        "isolation",
        "job_index",
        "jobs",
        "late_starts",
        "lease_s",
        "neighbors",
        "placement",
        "placement_hints",
        "pool",
        "ready",
        "relocations",
        "run_counts",
        "run_times",
        "tenant_shares",
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
        ordering: str = DEFAULT_ORDERING,
        lease_max_s: float = 0.0,
    ) -> None:
        self.pool = pool
        self.term = term
        self.lease_s = lease_s
        # The longest lease that an executor grants.
        self._lease_max_s = max(lease_s, lease_max_s)
        # How much later they may end that later incarnations have granted.
        self._late_s = LATE_CALL_S + self._lease_max_s - lease_s
        self.placement = placement
        # Local time by which all leases of earlier owners have ended.
        self._earlier_leases_end_at = earlier_leases_end_at
        self.run_times = RunTimes()
        self.arrivals = Arrivals()
        self.budget = PlanBudget()
        self.crashes = CrashLedger()
        self.isolation = Isolation()
        self.relocations = Relocations(relocate_after)
        self.neighbors = Neighbors()
        # Whether the executors' capacities are current; nothing is started
        # while they aren't.
        self.is_capacity_current = True
        self.placement_hints = PlacementHints()
        # Steps that need placement hints, with the executors to query.
        self.hint_requests: dict[StepName, list[str]] = {}
        self.jobs: dict[str, Job] = {}
        self.job_index = JobIndex()
        self.ended_jobs = EndedJobs()
        # The job of the task that is being reported on, for errors.
        self.handled_job: Job | None = None
        self.executors: dict[str, ExecutorView] = {}
        self._token_source = TokenSource(term)
        # Whether all executors that earlier owners used are known.
        self.are_used_executors_known = False
        self.ready = ReadyQueue(ordering)
        self.ended_incarnations = EndedIncarnations()
        self.late_starts = LateStarts()
        # Number of known runs of each task, including superfluous ones.
        self.run_counts: Counter[TaskName] = Counter()
        self.tenant_shares = PoolShares(pool, term)

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
        """Add a job; does nothing if it was added before."""
        known = self.jobs.get(job_id)
        if known is not None:
            return known
        job = Job(job_id, record, policy, progress)
        is_new = progress is None or progress.begun_term == self.term
        if is_new and not self.tenant_shares.takes_share(record.tenant, now):
            job.is_over_share = not job.is_long_running
        if is_new and not job.is_long_running:
            self.arrivals.record(expected_work(record, self.run_times), now)
        self.jobs[job_id] = job
        job.set_index(self.job_index)
        self.crashes.add_job(job)
        self.open_due_occurrences(job, unix_ms, now)
        return job

    def add_unscheduled_job(
        self,
        job_id: str,
        record: JobRecord,
        policy: QueuePolicy,
        progress: ProgressRecord | None,
    ) -> Job:
        """Add a job of which no occurrence is opened, or return it."""
        known = self.jobs.get(job_id)
        if known is not None:
            return known
        job = Job(job_id, record, policy, progress)
        self.jobs[job_id] = job
        job.set_index(self.job_index)
        return job

    def open_due_occurrences(self, job: Job, unix_ms: int, now: float) -> None:
        """Open due occurrences of a job and queue their ready tasks."""
        count = count_to_open(self, job)
        self.make_ready(job.open_due_occurrences(unix_ms, now, count))

    def cancel_job(self, job_id: str, unix_ms: int) -> Job | None:
        """Cancel a job; the next plan stops its runs."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return job
        job.cancel(unix_ms)
        self.dequeue_job(job)
        return job

    def set_aside_job(self, job: Job, reason: str, unix_ms: int) -> None:
        """Fail a job that can't be scheduled; the next plan stops its runs."""
        job.set_aside(reason, unix_ms)
        self.dequeue_job(job)

    def dequeue_job(self, job: Job) -> None:
        """Remove the waiting tasks of a job that has ended."""
        self.ready.discard_job(job)

    def forget_job(self, job_id: str) -> None:
        """Remove a job that has ended and whose retention is over."""
        self.placement_hints.forget_job(job_id)
        job = self.jobs.pop(job_id, None)
        if job is not None:
            job.set_index(None)
            self.dequeue_job(job)

    def jobs_to_begin(self) -> list[Job]:
        """Return jobs with waiting tasks and without the begun mark."""
        return self.ready.jobs_to_begin()

    def requeue(self, task: Task, now: float) -> None:
        """Return a placed task to the queue."""
        if task.state is not TaskState.PLACED:
            return
        task.state = TaskState.READY
        task.executor_id = ""
        task.run = 0
        task.ready_at = now
        if not task.job.is_final:
            self.ready.add(task)

    def make_ready(self, steps: list[StepTasks]) -> None:
        """Queue steps that have become ready, unless their job has ended.

        An ended job's running tasks may still be done and complete a step.
        """
        for tasks in steps:
            if not tasks.job.is_final:
                self.ready.add_step(tasks)

    # --- Executors.

    def observe_executor(self, info: ExecutorInfo) -> ExecutorView:
        """Record an executor's store entry."""
        view = self.executors.get(info.executor_id)
        if view is None or not view.apply_entry(info):
            view = ExecutorView(
                info,
                self._earlier_leases_end_at,
                self.run_counts,
                self.tenant_shares.usage,
                self._token_source,
                self._lease_max_s,
                self._earlier_leases_end_at + self._late_s,
            )
            self.executors[info.executor_id] = view
        return view

    def mark_entry_removed(self, executor_id: str) -> None:
        """Record that an executor's entry was removed: no new tasks there."""
        view = self.executors.get(executor_id)
        if view is not None:
            view.has_entry = False

    def unresponsive_executors(self) -> list[ExecutorView]:
        """Return the executors that don't answer this owner now."""
        found: list[ExecutorView] = []
        for view in self.executors.values():
            if view.last_report_at is None:
                found.append(view)
        return found

    def remove_executor(
        self, executor_id: str, now: float, cause: LossCause
    ) -> list[Run]:
        """Remove an executor that has certainly ended; requeue its tasks."""
        view = self.executors.pop(executor_id, None)
        if view is None:
            return []
        self.placement_hints.forget_executor(executor_id)
        self.ended_incarnations.add(view)
        # One that never answered was not used, so nothing has ended.
        if not view.is_located:
            return []
        if cause is LossCause.NOT_LISTED:
            self.late_starts.hold(view, now)
        lost = list(view.runs.values())
        clear_runs(self, view, lost, now, cause)
        return lost

    def free_task(self, run: Run, view: ExecutorView, now: float) -> None:
        """Requeue a run's task, unless the task now has another run."""
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
        """Return the orders to send now.

        `verified_at` is the local time at which the store was last queried
        and confirmed that this owner still owns the pool.
        """
        orders: list[StartOrder | StopOrder | PaceOrder] = []
        self.budget.begin()
        self.relocations.plan(self, now)
        for view in list(self.executors.values()):
            if is_undisturbed(view, now):
                continue
            free_expired_runs(self, view, now, verified_at)
            duplicated = runs_to_duplicate(view)
            if duplicated:
                self.crashes.record_loss(
                    self, view, duplicated, LossCause.SILENT, now
                )
            for run in duplicated:
                # The unobservable run goes on; its duplicate may race it.
                self.free_task(run, view, now)
                run.task = None
            for run in stalled_runs(view, self.run_times):
                view.health.record_stall(now)
                run.phase = RunPhase.STOPPING
                run.stop_reason = STALLED
                if run.task is not None:
                    run.task.avoided_executor = view.executor_id
            orders.extend(plan_stops(view, now))
            for run in plan_pace(view):
                run.pace = view.pace
                orders.append(
                    PaceOrder(
                        view.executor_id, run.task_name, run.run, run.pace
                    )
                )
        if self.earlier_runs_known(now):
            self.crashes.record_absent_executors(self.executors)
        self.crashes.review(self, now, unix_ms)
        self.isolation.plan(self, now)
        if self.is_capacity_current:
            orders.extend(plan_starts(self, now, unix_ms))
        return orders

    def place(
        self, task: Task, view: ExecutorView, now: float, run: int = 0
    ) -> StartOrder:
        """Reserve resources for a task's next run; return its start order."""
        run = run or task.next_run_number(self.term)
        task.job.tasks_beside(task).keep(task)
        task.state = TaskState.PLACED
        task.executor_id = view.executor_id
        task.run = run
        task.last_run = run
        task.job.home_zone = view.info.zone
        task.job.timing.record_placed(now)
        self.ready.discard(task)
        token = view.tokens.current
        added = Run(task.name, run, task.step.resources, now, task, token)
        reserved_for = self.isolation.job_on(view.executor_id)
        added.is_isolated = reserved_for == task.name.job
        if reserved_for and not added.is_isolated:
            self.isolation.release(self, view.executor_id)
        view.add_run(added)
        view.record_lease(now, self.lease_s)
        ticket = ""
        if task.job.policy.needs_placement_hint:
            step = StepName.of(task.name)
            ticket = (
                self.placement_hints.ticket(step, view.executor_id, now) or ""
            )
        return StartOrder(view.executor_id, task, run, ticket, token)

    def earlier_runs_known(self, now: float) -> bool:
        """Return whether all runs of earlier owners are known."""
        return are_earlier_runs_known(self, now, self._earlier_leases_end_at)
