"""Logs what a pool's capacity is used for, and how its jobs end.

`lycheelug scheduler day` adds these lines up.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change
from lycheelug.workloads import JobState
from lycheelug.workloads.forecast import LATE_LIMIT_FACTOR

if TYPE_CHECKING:
    from lycheelug.jobservice.clock import Clock
    from lycheelug.workloads import Job, PoolSchedule, Run

__all__ = ["PoolLog"]

# How often the use of the capacity is logged.
INTERVAL_S: Final = 1.0
# The use by long-running tasks, and by runs without a task of a known job.
LASTING: Final = "lasting"
OTHER: Final = "other"


class PoolLog:
    """Logs the use of one pool and the ends of its jobs."""

    __slots__ = ("_clock", "_logged_at", "_schedule", "_term")

    def __init__(self, clock: Clock, schedule: PoolSchedule) -> None:
        self._clock = clock
        self._schedule = schedule
        self._term = schedule.term
        self._logged_at = clock.now()

    def update(self) -> None:
        """Log the jobs that have ended and, when it is due, the use."""
        ended = self._schedule.job_index.ended
        for job in ended:
            self._log_end(job)
        ended.clear()
        now = self._clock.now()
        if now - self._logged_at >= INTERVAL_S:
            self._logged_at = now
            self._log_use(now)

    def _log_end(self, job: Job) -> None:
        """Log the end of a job that is due at its submission."""
        if job.is_long_running or job.record.schedule is not None:
            return
        took_ms = job.progress.final_ms - job.record.accepted_ms
        waited_ms = None
        placed_at = job.timing.placed_at
        if placed_at is not None:
            age_ms = (self._clock.now() - placed_at) * 1000
            placed_ms = self._clock.unix_ms() - age_ms
            waited_ms = round(placed_ms - job.record.accepted_ms)
        log_change(
            "job-ended",
            pool=self._schedule.pool,
            term=self._term,
            job=job.job_id,
            queue=job.record.queue,
            state=job.progress.state,
            took_ms=took_ms,
            waited_ms=waited_ms,
            **self._forecast_ms(job),
        )

    def _forecast_ms(self, job: Job) -> dict[str, int]:
        """Return what was expected of a job, in milliseconds.

        A job that has failed may be one that can't be forecast.
        """
        if job.progress.state == JobState.FAILED:
            return {}
        forecast = job.forecast(0, self._schedule.run_times)
        return {
            "allowed_ms": round(forecast.allowed_s * 1000),
            "expected_ms": round(
                max(forecast.remaining_s, default=0.0) * 1000
            ),
            "limit_ms": round(forecast.allowed_s * 1000 * LATE_LIMIT_FACTOR),
        }

    def _log_use(self, now: float) -> None:
        """Log the use of the capacity, in thousandths of a core."""
        schedule = self._schedule
        unix_ms = self._clock.unix_ms()
        hosts = capacity = 0
        used: Counter[str] = Counter()
        for view in schedule.executors.values():
            if view.is_healthy(now) and not view.drain_order:
                hosts += 1
                capacity += view.info.capacity.cpu_millis
            for run in view.runs.values():
                used[self._outcome(run, now)] += run.resources.cpu_millis
        waiting: Counter[str] = Counter()
        oldest_ms = 0
        for step in schedule.ready.steps:
            job = step.job
            if job.is_long_running:
                continue
            forecast = job.forecast(step.name[1], schedule.run_times)
            outcome = forecast.feasibility(step.name[2], unix_ms)
            waiting[outcome.name.lower()] += 1
            oldest_ms = max(oldest_ms, unix_ms - job.record.accepted_ms)
        log_change(
            "pool-use",
            pool=schedule.pool,
            term=self._term,
            hosts=hosts,
            capacity_cpu=capacity,
            used_cpu=dict(used),
            waiting_steps=dict(waiting),
            oldest_ms=oldest_ms,
            jobs=len(schedule.jobs),
            unfinished=len(schedule.job_index.unfinished),
            ended=len(schedule.ended_jobs),
            open_steps=schedule.job_index.open_steps,
            runs=len(schedule.run_counts),
        )

    def _outcome(self, run: Run, now: float) -> str:
        """Return the expected outcome of a run's job, as of its start."""
        task = run.task
        if task is None or task.name.occurrence not in task.job.due_ms:
            return OTHER
        if task.job.is_long_running:
            return LASTING
        started_ms = self._clock.unix_ms() - round(
            (now - run.ordered_at) * 1000
        )
        forecast = task.job.forecast(
            task.name.occurrence, self._schedule.run_times
        )
        return forecast.feasibility(task.name.step, started_ms).name.lower()
