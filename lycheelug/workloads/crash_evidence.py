"""What the loss of executors proves against the tasks that ran there."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, Final

from lycheelug.workloads.progress import is_accused, task_key
from lycheelug.workloads.tasks import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.progress import CrashRecord
    from lycheelug.workloads.tasks import Task

__all__ = [
    "CONVICTING_CRASHES",
    "PROOFS",
    "LossCause",
    "awaits_proof",
    "describe_loss",
    "describe_verdict",
    "find_open_task",
    "is_convicting",
    "is_of",
    "is_same",
    "order_suspects",
    "unproved_executors",
]

# Losses under a task after which its job fails: in isolation, and at most.
CONVICTING_CRASHES: Final = 2
CRASHES_MAX: Final = 3
UNCERTAIN_CRASHES_MAX: Final = 5
# A run that went on for longer is an unlikely cause of a crash.
LIKELY_AGE_MAX_MS: Final = 2_000
# Tasks that one event names, for the logs.
NAMED_MAX: Final = 20


class LossCause(Enum):
    """Why the runs on an executor were given up."""

    # A later incarnation with the same id reports.
    RESTARTED = "restarted"
    # Another incarnation answered at the executor's address.
    REPLACED = "replaced"
    # The list of hosts names another incarnation.
    NOT_LISTED = "not-listed"
    # The host is being moved or maintained.
    HOST_ORDER = "host-order"
    # It was silent until its last lease ended.
    LEASE_ENDED = "lease-ended"
    # It is silent, and second runs of its tasks are started.
    SILENT = "silent"


# The causes that prove that an incarnation has ended.
PROOFS: Final = frozenset(
    {LossCause.RESTARTED, LossCause.REPLACED, LossCause.NOT_LISTED}
)


def is_convicting(records: list[CrashRecord]) -> bool:
    """Return whether the records of a task are enough to fail its job.

    A task counts as the cause only if it surely ran on two of the executors,
    unless there were so many that another start might crash one more.
    """
    proved = [record for record in records if record.is_proved]
    if len(proved) >= UNCERTAIN_CRASHES_MAX:
        return True
    likely: list[CrashRecord] = []
    for record in proved:
        if record.is_isolated or record.age_ms <= LIKELY_AGE_MAX_MS:
            likely.append(record)
    certain = [record for record in likely if record.is_certain]
    if len(certain) < CONVICTING_CRASHES:
        return False
    if len(likely) >= CRASHES_MAX:
        return True
    return any(record.is_isolated for record in certain)


def awaits_proof(task: Task) -> bool:
    """Return whether a task waits for the proof of a loss."""
    key = task_key(*task.name[1:])
    records = task.job.progress.crashes.get(key, [])
    if len(records) < CONVICTING_CRASHES:
        return False
    return not all(record.is_proved for record in records)


def order_suspects(jobs: Iterable[Job]) -> list[Job]:
    """Return the accused jobs, the most suspicious ones first.

    A crash is most likely the fault of what was started last.
    """
    found: list[tuple[int, str, Job]] = []
    for job in jobs:
        ages: list[int] = []
        for records in job.progress.crashes.values():
            if is_accused(records):
                ages.append(min(record.age_ms for record in records))
        if ages and not job.is_final:
            found.append((min(ages), job.job_id, job))
    return [job for _, _, job in sorted(found, key=lambda each: each[:2])]


def unproved_executors(jobs: Iterable[Job]) -> set[str]:
    """Return the executors of which a loss is recorded but not proved."""
    found: set[str] = set()
    for job in jobs:
        for records in job.progress.crashes.values():
            for record in records:
                if not record.is_proved:
                    found.add(record.executor)
    return found


def is_of(record: CrashRecord, view: ExecutorView) -> bool:
    """Return whether a record is of an executor's incarnation."""
    return (
        record.executor == view.executor_id and record.born_ms == view.born_ms
    )


def is_same(record: CrashRecord, other: CrashRecord) -> bool:
    """Return whether two records are of the same incarnation."""
    return (
        record.executor == other.executor and record.born_ms == other.born_ms
    )


def describe_loss(
    view: ExecutorView,
    runs: list[Run],
    cause: LossCause,
    is_shared: bool,
    silent_s: float,
    isolated: Run | None,
) -> tuple[str, dict[str, Any]]:
    """Return the event of a lost executor."""
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
    return ("executor-crashed", fields)


def describe_verdict(
    job: Job, key: str, verdict: str, records: list[CrashRecord]
) -> tuple[str, dict[str, Any]]:
    """Return the event of a decision about a suspect."""
    fields = {
        "job": job.job_id,
        "task": f"{job.job_id}.{key}",
        "verdict": verdict,
        "crashes": [record.executor for record in records],
        "ages_ms": [record.age_ms for record in records],
    }
    return ("crash-verdict", fields)


def find_open_task(schedule: PoolSchedule, run: Run) -> Task | None:
    """Return the unfinished task of a run, even if it has another run."""
    job = schedule.jobs.get(run.task_name.job)
    task = job.find_task(run.task_name) if job is not None else None
    if task is None or task.job.is_final or task.state is TaskState.DONE:
        return None
    return task
