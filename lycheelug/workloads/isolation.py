"""Reserves executors for tasks that may crash them; no I/O.

A suspect runs where no task of another job is started beside it, so that a
crash has one possible cause and few victims.  Runs that were there before
have gone on for a while, which makes them unlikely causes.  Reservations are
stored with the job before its tasks start, so that a later owner knows where
they may have run.

Isolation is preferred, not required: a suspect waits for it for a limited
time, and keeps others away for a limited time.  At most half of the usable
executors are reserved, so that suspects don't starve the pool; a gang, which
must start at once, may take more if no other job has a reservation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.crash_records import SUSPECT_RUN_MAX_S
from lycheelug.workloads.placement import (
    count_step_tasks,
    is_overdue,
    is_step_full,
    may_host,
    takes_tasks,
    will_have_room,
)
from lycheelug.workloads.tasks import TaskState

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.tasks import Task

__all__ = ["Isolation"]

# Runs of other jobs must have gone on for this long before a suspect starts
# beside them.
SETTLED_S: Final = 0.3
RESERVED_SHARE: Final = 0.5


class Isolation:
    """The executors of one pool that are reserved for suspects."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        # The job for which an executor is reserved, by executor.
        self._jobs: dict[str, str] = {}

    def job_on(self, executor_id: str) -> str:
        """Return the job for which an executor is reserved, or nothing."""
        return self._jobs.get(executor_id, "")

    def may_wait(self, task: Task, now: float) -> bool:
        """Return whether a task starts only on a reserved executor."""
        return task.needs_isolation and not is_overdue(task, now)

    def isolated_run(self, view: ExecutorView) -> Run | None:
        """Return a run that was started while its job had the executor."""
        job_id = self.job_on(view.executor_id)
        for run in view.runs.values():
            if run.is_isolated and run.task_name.job == job_id:
                return run
        return None

    def release(self, schedule: PoolSchedule, executor_id: str) -> None:
        """Release an executor: it is no longer alone with its job."""
        job_id = self._jobs.pop(executor_id, "")
        job = schedule.jobs.get(job_id)
        if job is not None and not job.is_final:
            job.progress.reserved.pop(executor_id, None)
            job.is_dirty = True

    def restore(self, executor_id: str, job_id: str) -> None:
        """Reserve an executor again, as an earlier owner had."""
        self._jobs.setdefault(executor_id, job_id)

    def is_settled(self, view: ExecutorView, now: float) -> bool:
        """Return whether the job of a reserved executor may start there."""
        job_id = self.job_on(view.executor_id)
        for run in view.runs.values():
            if run.task_name.job == job_id or run.is_adopted:
                continue
            if now - run.ordered_at < SETTLED_S:
                return False
        return True

    def plan(self, schedule: PoolSchedule, now: float) -> None:
        """Release what is no longer needed, and reserve for who waits."""
        if not self._jobs and not schedule.crashes.jobs:
            return
        if not schedule.earlier_runs_known(now):
            _defer_waits(schedule, now)
        self._release(schedule, now)
        usable: list[ExecutorView] = []
        for view in schedule.executors.values():
            if takes_tasks(view, now):
                usable.append(view)
        for job in schedule.crashes.ordered_suspects():
            waiting = self._waiting_tasks(schedule, job, now)
            if waiting:
                self._reserve(schedule, job, waiting, usable, now)

    def _release(self, schedule: PoolSchedule, now: float) -> None:
        """Release the executors that their jobs no longer need."""
        for executor_id, job_id in list(self._jobs.items()):
            job = schedule.jobs.get(job_id)
            view = schedule.executors.get(executor_id)
            if job is not None and view is not None and job.is_suspect:
                has_runs = _has_recent_runs(view, job_id, now)
                is_wanted = bool(self._waiting_tasks(schedule, job, now))
                if has_runs or (is_wanted and takes_tasks(view, now)):
                    continue
            self.release(schedule, executor_id)

    def _waiting_tasks(
        self, schedule: PoolSchedule, job: Job, now: float
    ) -> list[Task]:
        """Return the waiting tasks of a job that need a reserved executor."""
        found: list[Task] = []
        for task in job.tasks():
            if task.state is not TaskState.READY:
                continue
            if not self.may_wait(task, now):
                continue
            if not schedule.crashes.awaits_proof(task, now):
                found.append(task)
        return found

    def _reserve(
        self,
        schedule: PoolSchedule,
        job: Job,
        waiting: list[Task],
        usable: list[ExecutorView],
        now: float,
    ) -> None:
        """Reserve executors for a job until its next start fits on them."""
        needs_hint = waiting[0].job.policy.needs_placement_hint
        hints = schedule.placement_hints if needs_hint else None
        own = [
            view
            for view in usable
            if self.job_on(view.executor_id) == job.job_id
        ]
        free = [
            view
            for view in usable
            if not self.job_on(view.executor_id)
            and may_host(view, waiting[0], hints, now)
            and not is_step_full(view, waiting[0])
            and will_have_room(view, waiting[0].step.resources)
        ]
        limit = max(1, int(len(usable) * RESERVED_SHARE))
        if waiting[0].step.is_gang and len(own) == len(self._jobs):
            limit = len(usable)
        free.sort(key=lambda view: _preference(view, waiting[0]))
        while free and len(self._jobs) < limit:
            if _has_room(own, waiting):
                return
            view = free.pop(0)
            own.append(view)
            self._jobs[view.executor_id] = job.job_id
            job.progress.reserved[view.executor_id] = view.born_ms
            job.mark_crashes_changed()
            schedule.crashes.events.append(
                (
                    "executor-reserved",
                    {
                        "executor": view.executor_id,
                        "job": job.job_id,
                        "waiting": len(waiting),
                        "runs": len(view.runs),
                    },
                )
            )


def _defer_waits(schedule: PoolSchedule, now: float) -> None:
    """Let suspects wait from now on, as starts are held after a takeover."""
    for job in schedule.crashes.ordered_suspects():
        if job.progress.begun_term == schedule.term:
            continue
        for task in job.tasks():
            if task.state is TaskState.READY:
                task.ready_at = now


def _has_recent_runs(view: ExecutorView, job_id: str, now: float) -> bool:
    """Return whether runs of a job still have to be isolated."""
    for run in view.runs.values():
        if run.task_name.job != job_id:
            continue
        if now - run.ordered_at < SUSPECT_RUN_MAX_S:
            return True
    return False


def _preference(view: ExecutorView, task: Task) -> tuple[bool, int, str]:
    """Return the sort key of executors to reserve, the best one first."""
    return (
        not view.fits(task.step.resources),
        len(view.runs),
        view.executor_id,
    )


def _members_that_fit(view: ExecutorView, member: Task) -> int:
    """Return how many members of a gang an executor has room for."""
    needed = member.step.resources
    capacity = view.info.capacity
    fitting = member.step.count
    limit = member.step.max_per_executor
    if limit:
        fitting = min(fitting, limit - count_step_tasks(view, member))
    for free, each in (
        (capacity.cpu_millis - view.used_cpu, needed.cpu_millis),
        (capacity.memory_mb - view.used_memory, needed.memory_mb),
        (capacity.gpus - view.used_gpus, needed.gpus),
    ):
        if each:
            fitting = min(fitting, free // each)
    return max(0, fitting)


def _has_room(views: list[ExecutorView], waiting: list[Task]) -> bool:
    """Return whether the next start fits: of a gang, or of one task."""
    first = waiting[0]
    if not first.step.is_gang:
        for view in views:
            has_room = view.fits(first.step.resources)
            if has_room and not is_step_full(view, first):
                return True
        return False
    fitting = sum(_members_that_fit(view, first) for view in views)
    return fitting >= first.step.count
