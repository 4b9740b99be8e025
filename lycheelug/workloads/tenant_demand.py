"""What the waiting tasks of each tenant need in a pool; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.tenants.amounts import NOTHING, larger, times
from lycheelug.tenants.reservation import Need
from lycheelug.workloads.model import Resources, add_resources
from lycheelug.workloads.placement import takes_tasks

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["free_capacity", "tenant_needs"]


def tenant_needs(schedule: PoolSchedule, is_settled: bool) -> dict[str, Need]:
    """Return what the waiting tasks need, by tenant.

    Unless `is_settled`, tasks that earlier owners may have started are left
    out, as they can't be started yet.
    """
    needs: dict[str, Need] = {}
    for step in schedule.ready.steps:
        tenant = step.job.record.tenant
        if not tenant:
            continue
        if not is_settled and _may_be_running(schedule, step.job):
            continue
        need = needs.get(tenant)
        if need is None:
            need = needs[tenant] = Need()
        request = step.spec.request
        waiting = times(request, step.count)
        need.waiting = add_resources(need.waiting, waiting)
        unit = times(request, step.spec.count if step.spec.is_gang else 1)
        need.unit = larger(need.unit, unit)
        need.task = larger(need.task, request)
    return needs


def free_capacity(schedule: PoolSchedule, now: float) -> Resources:
    """Return the free capacity of the executors that take tasks."""
    total = NOTHING
    for view in schedule.executors.values():
        if not takes_tasks(view, now):
            continue
        capacity = view.info.capacity
        free = Resources(
            max(0, capacity.cpu_millis - view.used_cpu),
            max(0, capacity.memory_mb - view.used_memory),
            max(0, capacity.gpus - view.used_gpus),
        )
        total = add_resources(total, free)
    return total


def _may_be_running(schedule: PoolSchedule, job: Job) -> bool:
    """Return whether an earlier owner may have started tasks of a job."""
    return job.progress.begun_term not in (0, schedule.term)
