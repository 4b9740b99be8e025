"""Lost executors: why their runs were given up, and the events to log."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, Final, TypeAlias

from lycheelug.workloads.tasks import TaskState

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.tasks import Task

__all__ = [
    "PROOFS",
    "Event",
    "HostEvidence",
    "LossCause",
    "describe_cleared",
    "describe_loss",
    "describe_verdict",
    "extend_cleared",
    "find_open_task",
]

# The name and the fields of an event to log.
Event: TypeAlias = tuple[str, dict[str, Any]]

# Tasks that one event names.
NAMED_MAX: Final = 20


class LossCause(Enum):
    """Why the runs on an executor were given up."""

    # A later incarnation with the same id reports.
    RESTARTED = "restarted"
    # Another incarnation answered at the executor's address or on its host.
    REPLACED = "replaced"
    # The list of hosts names another incarnation.
    NOT_LISTED = "not-listed"
    # The host is being moved or maintained.
    HOST_ORDER = "host-order"
    # It was silent until its last lease ended.
    LEASE_ENDED = "lease-ended"
    # It is silent, and second runs of its tasks are started.
    SILENT = "silent"


class HostEvidence(Enum):
    """What the list of hosts shows of an executor that fell silent."""

    # Its host is down, or runs another executor.
    ENDED = "not-listed"
    # Its host was moved or maintained meanwhile, which only a host in
    # operation can be: the executor had not crashed.
    ENDED_BY_ORDER = "host-order"


# The causes that prove that an incarnation has ended.
PROOFS: Final = frozenset(
    {LossCause.RESTARTED, LossCause.REPLACED, LossCause.NOT_LISTED}
)


def describe_loss(
    view: ExecutorView,
    runs: list[Run],
    cause: LossCause,
    is_shared: bool,
    silent_s: float,
    isolated: Run | None,
) -> Event:
    """Return the event of runs that were given up with their executor.

    `is_shared` tells that other executors were lost at the same time, and
    `isolated` is a run for whose job the executor was reserved.
    """
    fields = {
        "executor": view.executor_id,
        "host": view.info.host,
        "born_ms": view.born_ms,
        "cause": cause.value,
        "draining": view.info.draining,
        "silent_s": round(silent_s, 2),
        "is_shared": is_shared,
        "reserved_for": isolated.task_name.job if isolated else "",
        "runs": len(runs),
        "tasks": [
            f"{run.task_name.render()}/{run.run}" for run in runs[:NAMED_MAX]
        ],
    }
    return ("runs-lost", fields)


def describe_cleared(job: Job, key: str) -> Event:
    """Return the event of a task that is no longer suspected."""
    fields = _describe_task(job, key)
    fields["tasks"] = 1
    fields["others"] = []
    return ("suspect-cleared", fields)


def extend_cleared(event: Event, job: Job, key: str) -> bool:
    """Add a further task of the same job to such an event.

    Return False if it is the event of another job, or another event.
    """
    name, fields = event
    if name != "suspect-cleared" or fields["job"] != job.job_id:
        return False
    fields["tasks"] += 1
    if len(fields["others"]) < NAMED_MAX:
        fields["others"].append(f"{job.job_id}.{key}")
    return True


def describe_verdict(job: Job, key: str) -> Event:
    """Return the event of a job that fails for the losses under a task."""
    losses: list[dict[str, Any]] = []
    for record in job.progress.crashes[key][:NAMED_MAX]:
        losses.append(
            {
                "executor": record.executor,
                "born_ms": record.born_ms,
                "age_ms": record.age_ms,
                "proof": record.proof,
                "proved": record.is_proved,
                "certain": record.is_certain,
                "isolated": record.is_isolated,
                "discounted": record.is_discounted,
            }
        )
    return ("job-given-up", _describe_task(job, key) | {"losses": losses})


def _describe_task(job: Job, key: str) -> dict[str, Any]:
    """Return the fields of an event about a task with crash records."""
    records = job.progress.crashes[key]
    return {
        "job": job.job_id,
        "task": f"{job.job_id}.{key}",
        "executors": [record.executor for record in records],
        "ages_ms": [record.age_ms for record in records],
    }


def find_open_task(schedule: PoolSchedule, run: Run) -> Task | None:
    """Return the unfinished task of a run, even if it has another run."""
    job = schedule.jobs.get(run.task_name.job)
    task = job.peek_task(run.task_name) if job is not None else None
    if task is None or task.job.is_final or task.state is TaskState.DONE:
        return None
    return task
