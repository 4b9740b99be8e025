"""Executors that restart under their ids, with checks of what they run.

Everything runs in one process on virtual time.  The executors know the actual
state of all runs, and check each start and each acknowledgement against it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Final

from returns.result import Success

from lycheelug.fleetplan import HostInfo, HostState
from lycheelug.jobservice.interfaces import (
    PlacementHint,
)
from lycheelug.workloads import (
    EndKind,
    StartAnswer,
    StepName,
)
from tests.job_world import (
    POOL,
    FakeExecutor,
    FakeFleet,
    PendingCalls,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.workloads import StepSpec, TaskName, TaskReport
    from tests.job_world import FakeRun

__all__ = [
    "LEASE_MAX_S",
    "LEASE_S",
    "TICKET_VALID_S",
    "CheckedExecutor",
    "RestartingFleet",
]

# The duration of a lease, and the longest one that executors grant.
LEASE_S: Final = 3.5
LEASE_MAX_S: Final = 6.0
# How long a member of a gang waits for the others.
GANG_WAIT_S: Final = 3.0
CHECKPOINT_S: Final = 0.4
# The first report of an incarnation may be that of a poll for the former one.
REPORTS_UNTIL_KNOWN: Final = 2
TICKET_VALID_S: Final = 3.0


class CheckedExecutor(FakeExecutor):
    """An executor that records its ends as done, gangs and checkpoints."""

    def __init__(
        self, executor_id: str, work_s: float, fleet: RestartingFleet
    ) -> None:
        super().__init__(executor_id, work_s)
        self.fleet = fleet
        self.lease_max_s = LEASE_MAX_S
        # The number of the last end before the leases last expired.
        self.last_voided_end = 0
        # How many polls it has answered.
        self.reports = 0

    def report(self) -> TaskReport:
        self.reports += 1
        return super().report()

    def acknowledge(self, number: int) -> None:
        self.fleet.check_acknowledgement(self, number)
        super().acknowledge(number)

    def end(self, name: TaskName, kind: EndKind) -> None:
        run = self.running.get(name)
        if run is None:
            # It has ended with another member of its gang.
            return
        if kind is EndKind.STOPPED:
            self._save(name, run)
        super().end(name, kind)
        if kind is EndKind.DONE:
            ends = self.fleet.done_ends.setdefault(name, [])
            ends.append((self, self.end_count))
            self.fleet.end_members(name, run.number, EndKind.DONE)
        elif self.fleet.step(name).is_gang:
            self.fleet.end_members(name, run.number, EndKind.BROKEN)

    def tick(self) -> None:
        now = asyncio.get_running_loop().time()
        for name, run in list(self.running.items()):
            if name not in self.running:
                continue
            step = self.fleet.step(name)
            if step.is_gang and not self.fleet.is_complete(name, run.number):
                if run.is_together:
                    self.end(name, EndKind.BROKEN)
                elif now - run.waits_since > GANG_WAIT_S:
                    self.end(name, EndKind.ALONE)
                else:
                    run.started_at = now
            elif step.is_gang:
                run.is_together = True
            if step.saves_checkpoints and now - run.saved_at > CHECKPOINT_S:
                self._save(name, run)
        super().tick()
        if self.clock_ms() > self.deadline_ms:
            self.last_voided_end = self.end_count

    def _save(self, name: TaskName, run: FakeRun) -> None:
        """Write a new checkpoint of a run."""
        if not self.fleet.step(name).saves_checkpoints:
            return
        run.saved_at = asyncio.get_running_loop().time()
        run.checkpoint = f"{name.render()}/{run.number}/{run.saved_at:.2f}"
        self.fleet.checkpoints.setdefault(name, set()).add(run.checkpoint)


class RestartingFleet(FakeFleet):
    """Executors that restart, and whatever they did against the rules."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.violations: list[str] = []
        self.steps: dict[str, list[StepSpec]] = {}
        # Ends of kind DONE by task: the incarnation and the end's number.
        self.done_ends: dict[TaskName, list[tuple[FakeExecutor, int]]] = {}
        # Tasks that were started again after such an end, by that end.
        # They are a violation if the end is ever acknowledged.
        self.reruns: dict[tuple[FakeExecutor, int], TaskName] = {}
        self.checkpoints: dict[TaskName, set[str]] = {}
        # Step, incarnation and last time of use, by ticket.
        self.tickets: dict[str, tuple[StepName, FakeExecutor, float]] = {}
        # How many executors have ended under a task: they ran it, or no list
        # with its end was acknowledged.
        self.crashes: Counter[TaskName] = Counter()
        # The share of the calls that are carried out late.
        self.late_share = 0.0
        # Executors that the list of hosts shows as down.
        self.down: set[str] = set()

    def add(self, executor_id: str, work_s: float = 1.0) -> FakeExecutor:
        executor = CheckedExecutor(executor_id, work_s, self)
        executor.clock_rate = self.rng.uniform(0.98, 1.0)
        self.executors[executor_id] = executor
        return executor

    def restart(
        self,
        executor_id: str,
        dark_s: float = 0.0,
        pending_calls: PendingCalls = PendingCalls.FAIL,
    ) -> FakeExecutor:
        former = self.executors[executor_id]
        self.crashes.update({*former.running, *(e.task for e in former.ended)})
        return super().restart(executor_id, dark_s, pending_calls)

    def step(self, name: TaskName) -> StepSpec:
        return self.steps[name.job][name.step]

    def late_call_s(self) -> float | None:
        if self.rng.random() >= self.late_share:
            return None
        return self.rng.uniform(0.2, 3.8)

    def is_complete(self, name: TaskName, number: int) -> bool:
        """Return whether all members of a gang are present."""
        found: set[int] = set()
        for executor in self.executors.values():
            for other, run in executor.running.items():
                if other[:3] == name[:3] and run.number == number:
                    found.add(other[3])
        return len(found) == self.step(name).count

    def end_members(self, name: TaskName, number: int, kind: EndKind) -> None:
        """End the other members of a run's gang."""
        if not self.step(name).is_gang:
            return
        for executor in self.executors.values():
            for other, run in list(executor.running.items()):
                if other[:3] != name[:3] or run.number != number:
                    continue
                if other in executor.running and run.is_together:
                    executor.end(other, kind)

    def review_start(
        self,
        executor: FakeExecutor,
        task: TaskName,
        checkpoint: str,
        ticket: str,
    ) -> StartAnswer | None:
        """Check a start, and reject it without a valid ticket."""
        now = asyncio.get_running_loop().time()
        if ticket:
            step, named, valid_until = self.tickets[ticket]
            if named is not executor or step != StepName.of(task):
                return StartAnswer.BAD_TICKET
            if now > valid_until:
                return StartAnswer.BAD_TICKET
        spec = self.step(task)
        used = sum(self.step(name).cpu_millis for name in executor.running)
        assert isinstance(executor, CheckedExecutor)
        # Before that it may be meant for an incarnation of another kind.
        is_known = executor.reports >= REPORTS_UNTIL_KNOWN
        capacity = executor.info.capacity
        if is_known and used + spec.cpu_millis > capacity.cpu_millis:
            self.violate(f"{task.render()} exceeds the capacity")
        labels = ("", *executor.info.labels)
        if is_known and spec.required_label not in labels:
            self.violate(f"{task.render()} lacks its label")
        if checkpoint and checkpoint not in self.checkpoints.get(task, ()):
            self.violate(f"{task.render()} has a foreign checkpoint")
        if spec.may_duplicate:
            return None
        for other in self.executors.values():
            other.tick()
            if task in other.running:
                self.violate(
                    f"{task.render()} starts on {executor.info.executor_id} "
                    f"and runs on {other.info.executor_id}"
                )
        for end in self.done_ends.get(task, ()):
            self.reruns[end] = task
        return None

    def check_acknowledgement(
        self, executor: CheckedExecutor, acknowledged: int
    ) -> None:
        """Check that no task ran again after an acknowledged DONE end."""
        for number in range(executor.last_voided_end + 1, acknowledged + 1):
            task = self.reruns.get((executor, number))
            if task is not None:
                self.violate(f"{task.render()} ran again after it was done")

    def violate(self, what: str) -> None:
        now = asyncio.get_running_loop().time()
        self.violations.append(f"{now:.2f}: {what}")

    async def request_placement_hint(
        self, step: StepName, executors: Sequence[str], call_s: float = 0.0
    ) -> Result[PlacementHint, Fault]:
        named = {each: self.executors[each] for each in executors}
        await asyncio.sleep(0.05)
        valid_until = asyncio.get_running_loop().time() + TICKET_VALID_S
        tickets: dict[str, str] = {}
        for executor_id, executor in named.items():
            ticket = f"t{len(self.tickets)}"
            self.tickets[ticket] = (step, executor, valid_until)
            tickets[executor_id] = ticket
        return Success(PlacementHint(tickets, TICKET_VALID_S))

    async def hosts(self) -> Result[list[HostInfo], Fault]:
        found: list[HostInfo] = []
        for executor_id, executor in self.executors.items():
            is_down = executor_id in self.down
            found.append(
                HostInfo(
                    executor.info.host,
                    POOL,
                    HostState.DOWN if is_down else HostState.UP,
                    capacity=executor.info.capacity,
                    executor_id="" if is_down else executor_id,
                )
            )
        return Success(found)
