"""What an executor reports when it is polled: its active and ended runs."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.model import TaskName

__all__ = ["EndKind", "EndReport", "RunReport", "TaskReport"]


class EndKind(Enum):
    """How a run ended, as reported by its executor."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # Ended because its lease expired.
    LAPSED = "lapsed"
    # Ended because another member of its gang ended.
    BROKEN = "broken"
    # Timed out waiting for the other members of its gang.
    ALONE = "alone"


class RunReport:
    """Reports one active run; part of a task report."""

    __slots__ = ("checkpoint", "load", "percent", "run", "task")

    def __init__(
        self,
        task: TaskName,
        run: int,
        checkpoint: str = "",
        percent: int = 0,
        load: int = 0,
    ) -> None:
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        # Over the last 0.5 s: tail response time in milliseconds for a task
        # that serves requests, thousandths of a core in use for any other.
        self.load = load


class EndReport:
    """Reports the end of one run; part of a task report."""

    __slots__ = ("checkpoint", "kind", "number", "run", "task")

    def __init__(
        self,
        number: int,
        task: TaskName,
        run: int,
        kind: EndKind,
        checkpoint: str = "",
    ) -> None:
        self.number = number
        self.task = task
        self.run = run
        self.kind = kind
        self.checkpoint = checkpoint


class TaskReport:
    """An executor's answer to a poll: its active and its ended runs.

    An answer has only so many ends.  If it leaves some out, a run that it
    doesn't list at all may have ended.
    """

    __slots__ = ("born_ms", "clock_ms", "ended", "lists_all_ends", "running")

    def __init__(
        self,
        clock_ms: int,
        born_ms: int,
        running: list[RunReport],
        ended: list[EndReport],
        lists_all_ends: bool = True,
    ) -> None:
        self.clock_ms = clock_ms
        self.born_ms = born_ms
        self.running = running
        self.ended = ended
        # Whether `ended` has all ends that are not acknowledged.
        self.lists_all_ends = lists_all_ends
