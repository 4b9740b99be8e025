"""Which executors a step may use, where only the advice service knows.

A ticket admits all tasks of a step on one executor for a while.  A call
costs time for each executor named, and the service takes one call at a
time from a daemon, so a step asks once for the executors that are sound
then, and again only for those that have come since or when its tickets
run out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.model import TaskName

__all__ = ["PlacementHints", "StepName"]

# The service takes at most this many executors in a call.
EXECUTORS_MAX: Final = 100
# A ticket is not used in the last part of its time: the start may be slow.
MARGIN_S: Final = 0.3
# A step whose call failed asks again after this long.
RETRY_S: Final = 0.5


class StepName(NamedTuple):
    """A step of one occurrence."""

    job: str
    occurrence: int
    step: int

    @classmethod
    def of(cls, task: TaskName) -> StepName:
        """Return the step of a task."""
        return cls(task.job, task.occurrence, task.step)

    def render(self) -> str:
        """Return the name as text."""
        return f"{self.job}.{self.occurrence}.{self.step}"


class _StepAdvice:
    """What is known for one step."""

    __slots__ = ("asked", "asks_again_at", "is_asking", "tickets")

    def __init__(self) -> None:
        # Executors that were named in a call.
        self.asked: set[str] = set()
        # Tickets and the local times at which they end, by executor.
        self.tickets: dict[str, tuple[str, float]] = {}
        self.is_asking = False
        self.asks_again_at = 0.0


class PlacementHints:
    """The advice of all steps of a pool.

    >>> book = PlacementHints()
    >>> step = StepName("j", 0, 0)
    >>> book.add_tickets(step, {"x": "t1"}, valid_s=3.0, now=10.0)
    >>> book.ticket(step, "x", now=11.0), book.ticket(step, "x", now=12.9)
    ('t1', None)
    """

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps: dict[StepName, _StepAdvice] = {}

    def ticket(
        self, step: StepName, executor_id: str, now: float
    ) -> str | None:
        """Return a ticket that still holds, or None."""
        advice = self._steps.get(step)
        found = advice.tickets.get(executor_id) if advice else None
        if found is None or now > found[1] - MARGIN_S:
            return None
        return found[0]

    def to_ask(
        self, step: StepName, views: Iterable[ExecutorView], now: float
    ) -> list[str]:
        """Return the executors to ask for now, and note the call."""
        advice = self._steps.setdefault(step, _StepAdvice())
        if advice.is_asking or now < advice.asks_again_at:
            return []
        wanted: list[str] = []
        for view in views:
            executor_id = view.executor_id
            if not view.is_healthy(now) or view.drain_order:
                continue
            is_new = executor_id not in advice.asked
            had_ticket = executor_id in advice.tickets
            is_over = had_ticket and not self.ticket(step, executor_id, now)
            if (is_new or is_over) and len(wanted) < EXECUTORS_MAX:
                wanted.append(executor_id)
        if wanted:
            advice.is_asking = True
        return wanted

    def add_tickets(
        self,
        step: StepName,
        tickets: Mapping[str, str],
        valid_s: float,
        now: float,
        asked: Iterable[str] = (),
    ) -> None:
        """Take in an answer."""
        advice = self._steps.setdefault(step, _StepAdvice())
        advice.is_asking = False
        advice.asked.update(asked)
        for executor_id, ticket in tickets.items():
            advice.tickets[executor_id] = (ticket, now + valid_s)

    def record_failed_call(self, step: StepName, now: float) -> None:
        """Take in that a call brought no answer."""
        advice = self._steps.setdefault(step, _StepAdvice())
        advice.is_asking = False
        advice.asks_again_at = now + RETRY_S

    def reject(self, step: StepName, executor_id: str) -> None:
        """Drop a ticket that an executor did not accept; ask anew."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.tickets.pop(executor_id, None)
            advice.asked.discard(executor_id)

    def forget_job(self, job: str) -> None:
        """Drop what is known of a job's steps."""
        for step in list(self._steps):
            if step.job == job:
                del self._steps[step]
