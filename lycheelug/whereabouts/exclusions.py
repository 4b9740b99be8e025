"""The reasons for which an executor can't take a task now; no I/O.

They are looked at in the order of `PRECEDENCE`, and the first that applies
counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry
from lycheelug.workloads.executors import UNRESPONSIVE_S
from lycheelug.workloads.model import add_resources
from lycheelug.workloads.placement import is_step_full
from lycheelug.workloads.placement_hints import StepName

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.pool import PoolSchedule

    Exclusion = Callable[["Candidacy"], bool]

__all__ = ["EXCLUSIONS", "PRECEDENCE", "Candidacy", "find_exclusion"]

EXCLUSIONS: Final[Registry[Exclusion]] = Registry("exclusion")
# What concerns the executor goes before what concerns the task, and that
# before the room.
PRECEDENCE: Final = (
    "unlisted",
    "draining",
    "not answering",
    "not recorded yet",
    "restarted",
    "start unanswered",
    "backing off",
    "quarantined",
    "label",
    "reserved",
    "no ticket",
    "tasks of the step",
    "cpu",
    "memory",
    "gpus",
    "held for long-running tasks",
)


class Candidacy:
    """An executor that is considered for a task."""

    __slots__ = ("now", "schedule", "task", "view")

    def __init__(
        self,
        schedule: PoolSchedule,
        view: ExecutorView,
        task: Task,
        now: float,
    ) -> None:
        self.schedule = schedule
        self.view = view
        self.task = task
        self.now = now


def find_exclusion(candidacy: Candidacy) -> str:
    """Return the reason that rules an executor out; empty for none."""
    for name in PRECEDENCE:
        if EXCLUSIONS.get(name)(candidacy):
            return name
    return ""


@EXCLUSIONS.register("unlisted")
def is_unlisted(candidacy: Candidacy) -> bool:
    """Return whether its entry is gone from the store."""
    return not candidacy.view.has_entry


@EXCLUSIONS.register("draining")
def is_draining(candidacy: Candidacy) -> bool:
    """Return whether it leaves, or its host is to be moved or maintained."""
    view = candidacy.view
    return view.info.draining or bool(view.drain_order)


@EXCLUSIONS.register("not answering")
def is_not_answering(candidacy: Candidacy) -> bool:
    """Return whether it has not answered this owner lately."""
    view = candidacy.view
    if not view.has_accepted_term or view.last_report_at is None:
        return True
    return candidacy.now - view.last_report_at > UNRESPONSIVE_S


@EXCLUSIONS.register("not recorded yet")
def is_not_recorded(candidacy: Candidacy) -> bool:
    """Return whether it is not stored yet that the pool uses it."""
    return not candidacy.view.is_recorded


@EXCLUSIONS.register("restarted")
def has_restarted(candidacy: Candidacy) -> bool:
    """Return whether its next incarnation, or that one's entry, is awaited."""
    view = candidacy.view
    return view.has_restarted or view.has_former_entry


@EXCLUSIONS.register("start unanswered")
def has_unanswered_start(candidacy: Candidacy) -> bool:
    """Return whether it may yet carry out a call that it left unanswered."""
    return candidacy.view.needs_barrier


@EXCLUSIONS.register("backing off")
def is_backing_off(candidacy: Candidacy) -> bool:
    """Return whether it has just rejected or missed a start."""
    return candidacy.view.backoff_until > candidacy.now


@EXCLUSIONS.register("quarantined")
def is_quarantined(candidacy: Candidacy) -> bool:
    """Return whether runs have failed or stalled there lately."""
    return candidacy.view.health.is_quarantined(candidacy.now)


@EXCLUSIONS.register("label")
def lacks_label(candidacy: Candidacy) -> bool:
    """Return whether it lacks the label that the step requires."""
    label = candidacy.task.step.required_label
    return bool(label) and label not in candidacy.view.info.labels


@EXCLUSIONS.register("reserved")
def is_reserved(candidacy: Candidacy) -> bool:
    """Return whether it is reserved for another job."""
    job = candidacy.schedule.isolation.job_on(candidacy.view.executor_id)
    return bool(job) and job != candidacy.task.name.job


@EXCLUSIONS.register("no ticket")
def lacks_ticket(candidacy: Candidacy) -> bool:
    """Return whether the placement hint service has not permitted it."""
    task = candidacy.task
    if not task.job.policy.needs_placement_hint:
        return False
    hints = candidacy.schedule.placement_hints
    step = StepName.of(task.name)
    return not hints.ticket(step, candidacy.view.executor_id, candidacy.now)


@EXCLUSIONS.register("tasks of the step")
def is_full_of_step(candidacy: Candidacy) -> bool:
    """Return whether it has as many tasks of the step as it may."""
    return is_step_full(candidacy.view, candidacy.task)


@EXCLUSIONS.register("cpu")
def lacks_cpu(candidacy: Candidacy) -> bool:
    """Return whether it has too little free CPU."""
    view, needed = candidacy.view, candidacy.task.step.resources
    return view.used_cpu + needed.cpu_millis > view.info.capacity.cpu_millis


@EXCLUSIONS.register("memory")
def lacks_memory(candidacy: Candidacy) -> bool:
    """Return whether it has too little free memory."""
    view, needed = candidacy.view, candidacy.task.step.resources
    return view.used_memory + needed.memory_mb > view.info.capacity.memory_mb


@EXCLUSIONS.register("gpus")
def lacks_gpus(candidacy: Candidacy) -> bool:
    """Return whether it has too few free GPUs."""
    view, needed = candidacy.view, candidacy.task.step.resources
    return view.used_gpus + needed.gpus > view.info.capacity.gpus


@EXCLUSIONS.register("held for long-running tasks")
def is_held(candidacy: Candidacy) -> bool:
    """Return whether its room is kept for tasks that are relocated."""
    view, step = candidacy.view, candidacy.task.step
    held = candidacy.schedule.relocations.held.get(view.executor_id)
    if held is None or step.lasts:
        return False
    return not view.fits(add_resources(step.resources, held))
