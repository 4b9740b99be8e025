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
    LastingUse,
    is_overdue,
    is_step_full,
    may_host,
    members_that_fit,
    takes_tasks,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.tasks import Task

__all__ = ["Isolation"]

# Runs of other jobs must have gone on for this long before a suspect starts
# beside them.
SETTLED_S: Final = 0.3
RESERVED_SHARE: Final = 0.5
# Jobs for which one plan looks for executors to reserve.
RESERVING_JOBS_MAX: Final = 20


class Isolation:
    """The executors of one pool that are reserved for suspects."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        # The job for which an executor is reserved, by executor.
        self._jobs: dict[str, str] = {}

    @property
    def reservations(self) -> dict[str, str]:
        """The jobs for which executors are reserved, by executor."""
        return dict(self._jobs)

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

    def undo_releases(
        self, schedule: PoolSchedule, reservations: Mapping[str, str]
    ) -> None:
        """Reserve what was released for placements that were undone."""
        for executor_id, job_id in reservations.items():
            job = schedule.jobs.get(job_id)
            view = schedule.executors.get(executor_id)
            if executor_id in self._jobs or job is None or view is None:
                continue
            self._jobs[executor_id] = job_id
            job.progress.reserved[executor_id] = view.born_ms
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
        waiting = _WaitingTasks(schedule, now)
        self._release(schedule, waiting, now)
        usable: list[ExecutorView] = []
        own: dict[str, list[ExecutorView]] = {}
        for view in schedule.executors.values():
            if not takes_tasks(view, now):
                continue
            usable.append(view)
            job_id = self.job_on(view.executor_id)
            if job_id:
                own.setdefault(job_id, []).append(view)
        lasting_use = LastingUse()
        reserving = 0
        for job in schedule.crashes.ordered_suspects():
            first = waiting.first(job)
            if first is None:
                continue
            missing = _missing_places(own.get(job.job_id, []), first)
            if missing <= 0:
                continue
            count = waiting.count(job)
            self._reserve(
                schedule, first, missing, usable, lasting_use, count, now
            )
            reserving += 1
            if reserving >= RESERVING_JOBS_MAX:
                return

    def _release(
        self, schedule: PoolSchedule, waiting: _WaitingTasks, now: float
    ) -> None:
        """Release the executors that their jobs no longer need."""
        for executor_id, job_id in list(self._jobs.items()):
            job = schedule.jobs.get(job_id)
            view = schedule.executors.get(executor_id)
            if job is not None and view is not None and job.is_suspect:
                has_runs = _has_recent_runs(view, job_id, now)
                is_wanted = waiting.first(job) is not None
                if has_runs or (is_wanted and takes_tasks(view, now)):
                    continue
            self.release(schedule, executor_id)

    def _reserve(
        self,
        schedule: PoolSchedule,
        first: Task,
        missing: int,
        usable: list[ExecutorView],
        lasting_use: LastingUse,
        waiting: int,
        now: float,
    ) -> None:
        """Reserve executors for a job until its next start fits on them.

        That is the start of its task `first`, or of that task's gang, which
        needs room for `missing` more tasks.
        """
        job = first.job
        limit = max(1, int(len(usable) * RESERVED_SHARE))
        if first.step.is_gang and set(self._jobs.values()) <= {job.job_id}:
            limit = len(usable)
        if len(self._jobs) >= limit:
            return
        hints = None
        if job.policy.needs_placement_hint:
            hints = schedule.placement_hints
        free = [
            view
            for view in usable
            if not self.job_on(view.executor_id)
            and may_host(view, first, hints, now)
            and not is_step_full(view, first)
            and lasting_use.leaves_room(view, first.step.resources)
        ]
        free.sort(key=lambda view: _preference(view, first))
        for view in free:
            if missing <= 0 or len(self._jobs) >= limit:
                return
            missing -= _count_places(view, first)
            self._jobs[view.executor_id] = job.job_id
            job.progress.reserved[view.executor_id] = view.born_ms
            job.mark_crashes_changed()
            schedule.crashes.events.append(
                (
                    "executor-reserved",
                    {
                        "executor": view.executor_id,
                        "job": job.job_id,
                        "waiting": waiting,
                        "runs": len(view.runs),
                    },
                )
            )


class _WaitingTasks:
    """The waiting tasks that need a reserved executor, by job.

    They are looked for once for each job.
    """

    __slots__ = ("_counts", "_first", "_now", "_schedule")

    def __init__(self, schedule: PoolSchedule, now: float) -> None:
        self._schedule = schedule
        self._now = now
        self._first: dict[str, Task | None] = {}
        self._counts: dict[str, int] = {}

    def first(self, job: Job) -> Task | None:
        """Return the first of them, or None if there is none."""
        if job.job_id not in self._first:
            found = next(self._find(job), None)
            self._first[job.job_id] = found
        return self._first[job.job_id]

    def count(self, job: Job) -> int:
        """Return how many there are."""
        if job.job_id not in self._counts:
            self._counts[job.job_id] = sum(1 for _ in self._find(job))
        return self._counts[job.job_id]

    def _find(self, job: Job) -> Iterator[Task]:
        """Find the waiting tasks of a job that need one."""
        schedule = self._schedule
        for task in schedule.ready.tasks_of(job):
            if not schedule.isolation.may_wait(task, self._now):
                continue
            if not schedule.crashes.awaits_proof(task, self._now):
                yield task


def _defer_waits(schedule: PoolSchedule, now: float) -> None:
    """Let suspects wait from now on, as starts are held after a takeover."""
    for job in schedule.crashes.ordered_suspects():
        if job.progress.begun_term == schedule.term:
            continue
        schedule.ready.restart_wait(job, now)


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


def _missing_places(views: list[ExecutorView], first: Task) -> int:
    """Return for how many tasks of the next start there is no room."""
    missing = first.step.count if first.step.is_gang else 1
    for view in views:
        missing -= _count_places(view, first)
        if missing <= 0:
            break
    return missing


def _count_places(view: ExecutorView, first: Task) -> int:
    """Return for how many tasks of the next start an executor has room."""
    if first.step.is_gang:
        return members_that_fit(view, first)
    has_room = view.fits(first.step.resources)
    return int(has_room and not is_step_full(view, first))
