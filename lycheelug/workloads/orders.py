"""Orders to executors, and the reasons to stop a run.

The functions only decide; `pool` combines the decisions into a plan.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase
from lycheelug.workloads.jobs import TaskState
from lycheelug.workloads.stalls import STALL_S

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import TaskName

__all__ = [
    "PaceOrder",
    "StartOrder",
    "StopOrder",
    "find_stop_reason",
    "is_undisturbed",
    "plan_stops",
]

# A run whose start wasn't answered is stopped once a report that was requested
# afterwards doesn't list it, or after this long without such a report.
UNKNOWN_WAIT_S: Final = 1.5

# The access to a member of an enumeration is too slow for each run.
STARTING: Final = RunPhase.STARTING
RUNNING: Final = RunPhase.RUNNING
DONE: Final = TaskState.DONE


class StartOrder:
    """Start a run of a task on an executor."""

    __slots__ = ("executor_id", "run", "task", "ticket", "token")

    def __init__(
        self,
        executor_id: str,
        task: Task,
        run: int,
        ticket: str = "",
        token: int = 0,
    ) -> None:
        self.executor_id = executor_id
        self.task = task
        self.run = run
        # Ticket from the placement hint service; empty if none is needed.
        self.ticket = ticket
        # Its fencing token, that of its plan: a start must not be sent with
        # the token of a later barrier.
        self.token = token


class StopOrder:
    """Stop a run; repeated until the executor answers."""

    __slots__ = ("executor_id", "reason", "run", "task_name")

    def __init__(
        self, executor_id: str, task_name: TaskName, run: int, reason: str
    ) -> None:
        self.executor_id = executor_id
        self.task_name = task_name
        self.run = run
        self.reason = reason


class PaceOrder:
    """Set the pace of a backfill run, in percent of its normal speed."""

    __slots__ = ("executor_id", "percent", "run", "task_name")

    def __init__(
        self, executor_id: str, task_name: TaskName, run: int, percent: int
    ) -> None:
        self.executor_id = executor_id
        self.task_name = task_name
        self.run = run
        self.percent = percent


def find_stop_reason(run: Run, view: ExecutorView, now: float) -> str:
    """Return why a run must be stopped, or an empty string if it needn't."""
    if run.phase is RunPhase.STARTING:
        return ""
    if run.phase is RunPhase.STOPPING:
        return run.stop_reason
    task = run.task
    if task is None:
        return "run is superfluous"
    if task.job.is_final:
        return "job has ended"
    if task.state is TaskState.DONE:
        return "task is done"
    if run.phase is not RunPhase.UNKNOWN:
        return ""
    was_polled_since = view.polled_at > run.unknown_at
    if was_polled_since or now - run.unknown_at > UNKNOWN_WAIT_S:
        return "start was not answered"
    return ""


def plan_stops(view: ExecutorView, now: float) -> list[StopOrder]:
    """Return the stop orders to send to an executor."""
    stops: list[StopOrder] = []
    for run in view.runs.values():
        reason = find_stop_reason(run, view, now)
        if reason:
            run.phase = RunPhase.STOPPING
            run.stop_reason = run.stop_reason or reason
        if run.phase is not RunPhase.STOPPING or run.stop_sent:
            continue
        if run.task is None and view.last_report_at is None:
            # The duplicated run; stopped once its executor responds.
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


def is_undisturbed(view: ExecutorView, now: float) -> bool:
    """Return whether nothing is to be decided about an executor's runs.

    That holds for nearly all executors at any time.  It is a cheap check:
    False only means that each decision has to be made.
    """
    if view.last_report_at is None or now >= view.leases_end_at:
        return False
    if view.drain_order or view.info.draining:
        return False
    for run in view.runs.values():
        if run.phase is STARTING:
            continue
        task = run.task
        if run.phase is not RUNNING or task is None:
            return False
        if task.state is DONE or task.step.fills:
            return False
        if view.last_report_at - run.progressed_at > STALL_S:
            return False
        if task.job.is_final:
            return False
    return True
