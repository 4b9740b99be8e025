"""Placement hints: the executors on which a step may run.

For some queues, only the placement hint service knows where a task may run.
It answers with a ticket for each permitted executor; the ticket is
valid for all tasks of the step, for a limited time.  The cost of a call
grows with the number of executors named in it, and the service handles one
call at a time per daemon.  A step therefore queries all executors that are
healthy at the time in one call, and later only those that are new or whose
ticket has expired.  The calls themselves are made elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.model import HintTiming, TaskName

__all__ = ["PlacementHints", "StepName", "ticket_validity_s"]

# Maximum number of executors in one call.  The service accepts 100, but a
# call takes longer with each; the others are named once these are full.
EXECUTORS_MAX: Final = 30
# A ticket isn't used in this last part of its validity, as it could expire
# before the start reaches the executor; a quarter of it at most.
MARGIN_S: Final = 0.3
MARGIN_SHARE: Final = 0.25
# How long tickets are used of which nobody says how long they are valid.  An
# executor rejects one that has expired, and it is renewed.
VALID_UNKNOWN_S: Final = 1.0
# Delay before a failed call for a step is repeated.
RETRY_S: Final = 0.5
# Delay before tickets are renewed that executors reject, or that the service
# doesn't renew; it doubles, up to the maximum, until one is accepted.
RENEWAL_S: Final = 0.1
RENEWAL_MAX_S: Final = 2.0


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


class _StepHints:
    """Tickets and query state of one step."""

    __slots__ = (
        "asked",
        "is_query_pending",
        "is_useless",
        "next_query_at",
        "tickets",
        "useless_answers",
    )

    def __init__(self) -> None:
        # Executors that were named in a call.
        self.asked: set[str] = set()
        # Tickets and the local times until which they are used, by executor.
        self.tickets: dict[str, tuple[str, float]] = {}
        self.is_query_pending = False
        self.next_query_at = 0.0
        # The last answers in a row that were of no use, and whether the last
        # one is known to be.
        self.useless_answers = 0
        self.is_useless = False


def ticket_validity_s(answered_s: float | None, timing: HintTiming) -> float:
    """Return how long tickets are valid, by the answer and the queue.

    The shorter of the two counts.

    >>> from lycheelug.workloads.model import HintTiming
    >>> ticket_validity_s(None, HintTiming(valid_s=4.0))
    4.0
    >>> ticket_validity_s(3.0, HintTiming(valid_s=4.0))
    3.0
    >>> ticket_validity_s(0.0, HintTiming())
    1.0
    """
    stated = [each for each in (answered_s, timing.valid_s) if each]
    return min(stated, default=VALID_UNKNOWN_S)


class PlacementHints:
    """Placement hints for the unfinished steps of a pool.

    >>> hints = PlacementHints()
    >>> step = StepName("j", 0, 0)
    >>> hints.add_tickets(step, {"x": "t1"}, valid_s=3.0, now=10.0)
    >>> hints.ticket(step, "x", now=11.0), hints.ticket(step, "x", now=12.9)
    ('t1', None)
    """

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps: dict[StepName, _StepHints] = {}

    def ticket(
        self, step: StepName, executor_id: str, now: float
    ) -> str | None:
        """Return a valid ticket for an executor, or None."""
        hints = self._steps.get(step)
        found = hints.tickets.get(executor_id) if hints else None
        if found is None or now > found[1]:
            return None
        return found[0]

    def __len__(self) -> int:
        """Return the number of steps."""
        return len(self._steps)

    def executors_to_query(
        self, step: StepName, views: Iterable[ExecutorView], now: float
    ) -> list[str]:
        """Return the executors to query now, and mark a call as pending.

        Those whose tickets have expired come first, as they are permitted,
        and then those with the most free CPU.
        """
        hints = self._steps.setdefault(step, _StepHints())
        if hints.is_query_pending or now < hints.next_query_at:
            return []
        expired: list[str] = []
        new: list[tuple[int, str]] = []
        for view in views:
            executor_id = view.executor_id
            if not view.is_healthy(now) or view.drain_order:
                continue
            if executor_id in hints.tickets:
                if not self.ticket(step, executor_id, now):
                    expired.append(executor_id)
            elif executor_id not in hints.asked:
                free_cpu = view.info.capacity.cpu_millis - view.used_cpu
                new.append((-free_cpu, executor_id))
        new.sort()
        wanted = expired + [executor_id for _, executor_id in new]
        del wanted[EXECUTORS_MAX:]
        if wanted:
            hints.is_query_pending = True
        return wanted

    def add_tickets(
        self,
        step: StepName,
        tickets: Mapping[str, str],
        valid_s: float,
        now: float,
        asked: Iterable[str] = (),
    ) -> None:
        """Record the answer to a call."""
        hints = self._steps.setdefault(step, _StepHints())
        hints.is_query_pending = False
        hints.is_useless = False
        for executor_id in asked:
            hints.asked.add(executor_id)
            if executor_id in hints.tickets and executor_id not in tickets:
                _delay_renewal(hints, now)
        used_s = valid_s - min(MARGIN_S, valid_s * MARGIN_SHARE)
        for executor_id, ticket in tickets.items():
            hints.tickets[executor_id] = (ticket, now + used_s)

    def record_failed_call(self, step: StepName, now: float) -> None:
        """Record that a call failed; delay the next one."""
        hints = self._steps.get(step)
        if hints is None:
            return
        hints.is_query_pending = False
        hints.next_query_at = now + RETRY_S

    def discard_ticket(
        self, step: StepName, executor_id: str, now: float
    ) -> None:
        """Drop a ticket that an executor rejected, so that it is renewed."""
        hints = self._steps.get(step)
        if hints is None:
            return
        hints.tickets.pop(executor_id, None)
        hints.asked.discard(executor_id)
        _delay_renewal(hints, now)

    def record_accepted(self, step: StepName) -> None:
        """Record that an executor has accepted a ticket."""
        hints = self._steps.get(step)
        if hints is not None:
            hints.useless_answers = 0

    def forget_executor(self, executor_id: str) -> None:
        """Drop what is known of an executor that has ended.

        Its tickets are for that incarnation alone, and the next one under
        its id may be of another kind.
        """
        for hints in self._steps.values():
            hints.tickets.pop(executor_id, None)
            hints.asked.discard(executor_id)

    def forget_step(self, step: StepName) -> None:
        """Drop what is known of a step whose tasks are done."""
        self._steps.pop(step, None)

    def forget_job(self, job: str) -> None:
        """Drop what is known of a job's steps."""
        for step in list(self._steps):
            if step.job == job:
                del self._steps[step]


def _delay_renewal(hints: _StepHints, now: float) -> None:
    """Delay the next call for a step, once for each useless answer."""
    if hints.is_useless:
        return
    hints.is_useless = True
    delay_s = min(RENEWAL_MAX_S, RENEWAL_S * 2**hints.useless_answers)
    if delay_s < RENEWAL_MAX_S:
        hints.useless_answers += 1
    hints.next_query_at = now + delay_s
