"""Records executors that were lost with the tasks that ran there; no I/O.

An executor is lost when its runs are given up without having been reported
as ended: a later incarnation reports, another one answers, the list of hosts
names another one, or the last lease has ended.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run

__all__ = ["CrashLedger", "LossCause"]

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


class CrashLedger:
    """The lost executors of one pool."""

    __slots__ = ("events",)

    def __init__(self) -> None:
        # Name and fields of the events to log, oldest first.
        self.events: list[tuple[str, dict[str, Any]]] = []

    def record_loss(
        self,
        view: ExecutorView,
        runs: list[Run],
        cause: LossCause,
        now: float,
    ) -> None:
        """Record that runs on an executor were given up."""
        if not runs:
            return
        self.events.append(
            (
                "executor-crashed",
                {
                    "executor": view.executor_id,
                    "host": view.info.host,
                    "born_ms": view.born_ms,
                    "cause": cause.value,
                    "draining": view.info.draining,
                    "silent_s": round(now - view.polled_at, 2),
                    "runs": len(runs),
                    "tasks": [
                        f"{run.task_name.render()}/{run.run}"
                        for run in runs[:NAMED_MAX]
                    ],
                },
            )
        )
