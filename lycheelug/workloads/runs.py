"""One run of a task, as the pool's owner knows it."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import Resources, StepSpec, TaskName

__all__ = ["Run", "RunPhase"]


class RunPhase(Enum):
    """State of a run as far as the owner knows."""

    # The start was sent and is not answered yet.
    STARTING = auto()
    # The start failed without an answer: it may be running, or may yet be
    # started.
    UNKNOWN = auto()
    RUNNING = auto()
    # A stop is due or was sent.
    STOPPING = auto()


class Run:
    """One run of a task on one executor."""

    __slots__ = (
        "charged",
        "checkpoint",
        "confirmed_at",
        "is_adopted",
        "is_isolated",
        "is_located",
        "load",
        "ordered_at",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "resources",
        "run",
        "stop_answered_at",
        "stop_reason",
        "stop_sent",
        "task",
        "task_name",
        "tenant",
        "token",
        "unknown_at",
    )

    def __init__(
        self,
        task_name: TaskName,
        run: int,
        resources: Resources,
        ordered_at: float,
        task: Task | None,
        token: int = 0,
    ) -> None:
        self.task_name = task_name
        self.run = run
        self.resources = resources
        # None for a run that this owner has no use for.
        self.task = task
        self.phase = RunPhase.STARTING
        # Local time at which its start was ordered or, if an earlier owner
        # did that, at which it was first reported.
        self.ordered_at = ordered_at
        self.is_adopted = False
        # Fencing token of its start.
        self.token = token
        # Whether it is known to be on the executor's current incarnation.
        # Until then the start may not have been carried out yet, and a later
        # incarnation may do that.
        self.is_located = False
        # Whether its executor was reserved for its job at its start.
        self.is_isolated = False
        # Local time of the first answer or report that confirmed the run.
        self.confirmed_at: float | None = None
        self.checkpoint = ""
        self.percent = 0
        # Local time of the last report that showed progress.
        self.progressed_at = ordered_at
        # Local time at which the start was recorded as unanswered.
        self.unknown_at = ordered_at
        # Load as last reported, and the pace last ordered: the share of its
        # normal speed at which a backfill run may work, in percent.
        self.load = 0
        self.pace = 100
        self.stop_sent = False
        self.stop_answered_at: float | None = None
        self.stop_reason = ""
        # What counts for the cap of its job's tenant; empty for none.
        self.tenant = ""
        self.charged = resources
        if task is not None:
            self.charge(task.job.record.tenant, task.step)

    def charge(self, tenant: str, step: StepSpec) -> None:
        """Let the run count for a tenant's cap, before it is added."""
        self.tenant = tenant
        self.charged = step.request

    @property
    def key(self) -> tuple[TaskName, int]:
        """Key that is unique among the runs on the executor."""
        return (self.task_name, self.run)
