"""One life of an executor in random interleavings; it keeps the truth."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads import (
    EndKind,
    EndReport,
    RunReport,
    StartAnswer,
    TaskName,
    TaskReport,
)
from lycheelug.workloads.executors import CLOCK_DRIFT

if TYPE_CHECKING:
    from tests.interleavings import Play

__all__ = ["BrokenError", "Life"]


class BrokenError(AssertionError):
    """A promise was broken."""


class Life:
    """One life of an executor, with the truth about its runs."""

    def __init__(self, play: Play, name: str, born_ms: int) -> None:
        self.play = play
        self.name = name
        self.born_ms = born_ms
        self.is_up = True
        # Its clock may run slow by as much as is promised.
        self.rate = 1 - play.source.uniform(0, CLOCK_DRIFT)
        self.token = 0
        self.deadline_ms = 0
        self.running: dict[TaskName, int] = {}
        self.highest: dict[TaskName, int] = {}
        self.ended: list[EndReport] = []
        self.ends = 0
        # Ends up to this number came before a lapse of the lease.
        self.void_to = 0

    def clock_ms(self) -> int:
        return int((self.play.now - self.born_ms / 1000) * 1000 * self.rate)

    def end(self, task: TaskName, run: int, kind: EndKind) -> None:
        if self.running.get(task) != run or not self.is_up:
            return
        del self.running[task]
        self.ends += 1
        self.ended.append(EndReport(self.ends, task, run, kind))
        if kind is EndKind.DONE:
            self.play.done.setdefault(task, []).append((self, self.ends))

    def lapse(self) -> None:
        if self.clock_ms() <= self.deadline_ms:
            return
        for task, run in list(self.running.items()):
            self.end(task, run, EndKind.LAPSED)
        self.void_to = self.ends

    def start(
        self, task: TaskName, run: int, deadline_ms: int, token: int
    ) -> StartAnswer | None:
        self.lapse()
        if not self.is_up:
            return None
        if token < self.token:
            return StartAnswer.FENCED
        self.token = token
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        if self.running.get(task) == run:
            return StartAnswer.STARTED
        if run <= self.highest.get(task, 0):
            return StartAnswer.REJECTED
        if deadline_ms < self.clock_ms():
            return StartAnswer.REJECTED
        self.highest[task] = run
        self.play.check_start(self, task, run)
        self.running[task] = run
        source = self.play.source
        kind = EndKind.FAILED if source.random() < 0.05 else EndKind.DONE
        self.play.after(
            source.uniform(0.3, 3.0), lambda: self.end(task, run, kind)
        )
        return StartAnswer.STARTED

    def stop(self, task: TaskName, run: int, token: int) -> bool:
        self.lapse()
        if not self.is_up or token < self.token:
            return False
        self.token = token
        self.highest[task] = max(run, self.highest.get(task, 0))
        if self.running.get(task) == run:
            self.end(task, run, EndKind.STOPPED)
        return True

    def hold(
        self, token: int, deadline_ms: int | None, last_seen: int
    ) -> TaskReport | None:
        self.lapse()
        if not self.is_up or token < self.token:
            return None
        self.token = token
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.play.check_seen(self, last_seen)
        self.ended = [end for end in self.ended if end.number > last_seen]
        running = [
            RunReport(task, run, percent=100)
            for task, run in self.running.items()
        ]
        return TaskReport(
            self.clock_ms(), self.born_ms, running, list(self.ended)
        )
