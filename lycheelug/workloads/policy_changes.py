"""Applies a queue's policy to a job that is already scheduled; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.model import TaskName
from lycheelug.workloads.tasks import TaskState

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.model import QueuePolicy
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["apply_policy"]


def apply_policy(
    schedule: PoolSchedule, job: Job, policy: QueuePolicy, unix_ms: int
) -> None:
    """Let a job follow a policy from now on.

    The job fails if one of its tasks has already failed as often as the
    policy allows, as that task must not be started again.
    """
    job.policy = policy
    if job.is_final or not job.progress.failures:
        return
    # Only tasks with a limit on attempts have recorded failures.
    for key in list(job.progress.failures):
        name = TaskName.parse(f"{job.job_id}.{key}")
        task = job.peek_task(name) if name is not None else None
        if task is None or task.state is TaskState.DONE:
            continue
        job.fail_if_exhausted(task, unix_ms)
        if job.is_final:
            schedule.dequeue_job(job)
            return
