"""The orders that a pool's schedule gives, and which task comes first."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase
from lycheelug.workloads.forecast import Feasibility
from lycheelug.workloads.jobs import TaskState

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import TaskName
    from lycheelug.workloads.runtimes import RunTimes

__all__ = [
    "PaceOrder",
    "StartOrder",
    "StopOrder",
    "urgency",
    "why_stop",
]

# A start without an answer is stopped once a list that was asked for after
# it lacks its run, or after this long without such a list.
UNKNOWN_WAIT_S: Final = 1.5


class StartOrder:
    """Start a run of a task on an executor."""

    __slots__ = ("executor_id", "run", "task", "ticket")

    def __init__(
        self, executor_id: str, task: Task, run: int, ticket: str = ""
    ) -> None:
        self.executor_id = executor_id
        self.task = task
        self.run = run
        # The advice service's, where the queue needs it.
        self.ticket = ticket


class StopOrder:
    """Stop a run; it is repeated until it is answered."""

    __slots__ = ("executor_id", "reason", "run", "task_name")

    def __init__(
        self, executor_id: str, task_name: TaskName, run: int, reason: str
    ) -> None:
        self.executor_id = executor_id
        self.task_name = task_name
        self.run = run
        self.reason = reason


class PaceOrder:
    """Let a run that fills work at a share of its speed."""

    __slots__ = ("executor_id", "percent", "run", "task_name")

    def __init__(
        self, executor_id: str, task_name: TaskName, run: int, percent: int
    ) -> None:
        self.executor_id = executor_id
        self.task_name = task_name
        self.run = run
        self.percent = percent


def urgency(
    task: Task, unix_ms: int, run_times: RunTimes
) -> tuple[int, bool, Feasibility, bool, float, TaskName]:
    """Return the order in which tasks are placed: the smallest first.

    A lasting task earns from the moment that it works, so it goes before
    what has until its objective.  A job that can't be in time any more goes
    after those that can: served in order of objectives alone, a surge would
    make each job late by as much as the one before.  A job that has begun
    goes before one that has not, as less of its work is left to do.
    """
    job = task.job
    forecast = job.forecast(task.name.occurrence, run_times)
    feasibility = Feasibility.IN_TIME
    if not job.is_lasting:
        feasibility = forecast.feasibility(task.name.step, unix_ms)
    return (
        job.policy.priority,
        not job.is_lasting,
        feasibility,
        not job.has_started,
        forecast.objective_ms,
        task.name,
    )


def why_stop(run: Run, view: ExecutorView, now: float) -> str:
    """Return why a run is to be stopped; empty where it may go on."""
    if run.phase is RunPhase.STARTING:
        return ""
    if run.phase is RunPhase.STOPPING:
        return run.why_stopped
    task = run.task
    if task is None:
        return "not wanted"
    if task.job.is_final:
        return "job is over"
    if task.state is TaskState.DONE:
        return "task is done"
    if run.phase is not RunPhase.UNKNOWN:
        return ""
    is_looked_for = view.polled_at > run.unknown_at
    if is_looked_for or now - run.unknown_at > UNKNOWN_WAIT_S:
        return "start was not answered"
    return ""
