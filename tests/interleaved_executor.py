"""A simulated executor for random interleavings, with checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

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
    from tests.interleavings import Simulation

__all__ = ["LEASE_MAX_S", "ExecutorIncarnation", "InvariantError"]

# The longest lease that an executor grants.
LEASE_MAX_S: Final = 6.0


class InvariantError(AssertionError):
    """An invariant of the scheduler was violated."""


class ExecutorIncarnation:
    """One incarnation of an executor, with the actual state of its runs."""

    def __init__(
        self, simulation: Simulation, name: str, born_ms: int
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.born_ms = born_ms
        self.is_up = True
        # Its clock is slower than the simulation by up to the allowed drift.
        self.rate = 1 - simulation.rng.uniform(0, CLOCK_DRIFT)
        self.token = 0
        self.deadline_ms = 0
        self.running: dict[TaskName, int] = {}
        self.highest_runs: dict[TaskName, int] = {}
        self.ended: list[EndReport] = []
        self.end_count = 0
        # The number of the last end before the lease last expired.
        self.last_voided_end = 0

    def clock_ms(self) -> int:
        return int(
            (self.simulation.now - self.born_ms / 1000) * 1000 * self.rate
        )

    def end(self, task: TaskName, run: int, kind: EndKind) -> None:
        if self.running.get(task) != run or not self.is_up:
            return
        del self.running[task]
        self.end_count += 1
        self.ended.append(EndReport(self.end_count, task, run, kind))
        if kind is EndKind.DONE:
            self.simulation.done_ends.setdefault(task, []).append(
                (self, self.end_count)
            )

    def expire_lease(self) -> None:
        if self.clock_ms() <= self.deadline_ms:
            return
        for task, run in list(self.running.items()):
            self.end(task, run, EndKind.LAPSED)
        self.last_voided_end = self.end_count

    def extend(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms() + int(LEASE_MAX_S * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def start(
        self, task: TaskName, run: int, deadline_ms: int, token: int
    ) -> StartAnswer | None:
        self.expire_lease()
        if not self.is_up:
            return None
        if token < self.token:
            return StartAnswer.FENCED
        self.token = token
        self.extend(deadline_ms)
        if self.running.get(task) == run:
            return StartAnswer.STARTED
        if run <= self.highest_runs.get(task, 0):
            return StartAnswer.REJECTED
        if deadline_ms < self.clock_ms():
            return StartAnswer.REJECTED
        self.highest_runs[task] = run
        self.simulation.check_start(self, task, run)
        self.running[task] = run
        rng = self.simulation.rng
        kind = EndKind.FAILED if rng.random() < 0.05 else EndKind.DONE
        self.simulation.call_later(
            rng.uniform(0.3, 3.0), lambda: self.end(task, run, kind)
        )
        return StartAnswer.STARTED

    def stop(self, task: TaskName, run: int, token: int) -> bool:
        self.expire_lease()
        if not self.is_up or token < self.token:
            return False
        self.token = token
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        if self.running.get(task) == run:
            self.end(task, run, EndKind.STOPPED)
        return True

    def poll(
        self, token: int, deadline_ms: int | None, acknowledged: int
    ) -> TaskReport | None:
        self.expire_lease()
        if not self.is_up or token < self.token:
            return None
        self.token = token
        if deadline_ms is not None:
            self.extend(deadline_ms)
        self.simulation.check_acknowledgement(self, acknowledged)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        running = [
            RunReport(task, run, percent=100)
            for task, run in self.running.items()
        ]
        return TaskReport(
            self.clock_ms(), self.born_ms, running, list(self.ended)
        )
