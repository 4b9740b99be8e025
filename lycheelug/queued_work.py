"""The expected work that waits in a queue, by latest start.

Work is summed in steps of latest start, so that whether all of it can start
in time is found without a walk over the waiting requests.  Starts further
ahead than the horizon share one step, which is never short of time.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.admission_queue import Ticket

__all__ = ["Overload", "QueuedWork", "Waiting", "first_overload"]

STEP_S: Final = 0.25
HORIZON_S: Final = 30.0
FAR_STEP: Final = 1 << 62


class Waiting:
    """A waiting ticket with what was expected of it on arrival."""

    __slots__ = ("expected_s", "latest", "step", "ticket")

    def __init__(
        self, ticket: Ticket, latest: float, expected_s: float, now: float
    ) -> None:
        self.ticket = ticket
        # The time after which a start is of no use.
        self.latest = latest
        # The run's expected length.
        self.expected_s = expected_s
        self.step = FAR_STEP
        if latest < now + HORIZON_S:
            self.step = int(latest / STEP_S)


class Overload:
    """Work that can't start in time: where, and how much too much."""

    __slots__ = ("excess_s", "step")

    def __init__(self, step: int, excess_s: float) -> None:
        self.step = step
        self.excess_s = excess_s


class _Step:
    """The tickets of one step and the sum of their expected runs."""

    __slots__ = ("tickets", "work_s")

    def __init__(self) -> None:
        self.tickets: dict[int, Waiting] = {}
        self.work_s = 0.0


class QueuedWork:
    """Waiting tickets by step of latest start.

    >>> from lycheelug.admission_queue import Ticket
    >>> from lycheelug.requests import RequestClass
    >>> work = QueuedWork()
    >>> for number in range(4):
    ...     ticket = Ticket(number, "p", "t", RequestClass.SHORT, 0.0, 2.0)
    ...     work.add(Waiting(ticket, latest=1.0, expected_s=1.0, now=0.0))
    >>> first_overload([work], now=0.0, slots=4, margin_s=0.0) is None
    True
    >>> round(first_overload([work], 0.0, slots=2, margin_s=0.0).excess_s, 1)
    1.5
    """

    __slots__ = ("_steps", "_total_s")

    def __init__(self) -> None:
        self._steps: dict[int, _Step] = {}
        self._total_s = 0.0

    @property
    def total_s(self) -> float:
        """All expected work that waits, in run seconds."""
        return self._total_s

    @property
    def steps(self) -> Iterable[int]:
        """The steps that have any work."""
        return self._steps.keys()

    def work_in(self, step: int) -> float:
        """Return the work of one step."""
        found = self._steps.get(step)
        return 0.0 if found is None else found.work_s

    def add(self, waiting: Waiting) -> None:
        """Add a ticket."""
        step = self._steps.get(waiting.step)
        if step is None:
            step = self._steps[waiting.step] = _Step()
        step.tickets[waiting.ticket.ticket_id] = waiting
        step.work_s += waiting.expected_s
        self._total_s += waiting.expected_s

    def remove(self, waiting: Waiting) -> None:
        """Remove a ticket that was added."""
        step = self._steps[waiting.step]
        del step.tickets[waiting.ticket.ticket_id]
        step.work_s -= waiting.expected_s
        self._total_s -= waiting.expected_s
        if not step.tickets:
            del self._steps[waiting.step]
        if not self._steps:
            self._total_s = 0.0

    def up_to(self, last: int) -> list[Waiting]:
        """Return the tickets of all steps up to one."""
        found: list[Waiting] = []
        for number, step in self._steps.items():
            if number <= last:
                found.extend(step.tickets.values())
        return found


def first_overload(
    works: Iterable[QueuedWork],
    now: float,
    slots: int,
    margin_s: float,
    since: float = -inf,
) -> Overload | None:
    """Return the first step whose work can't start in time, if any.

    The work of all steps up to it would have to be done by the slots until
    then.  Steps before the latest start `since` are not judged, and starts
    up to `margin_s` too late are let pass.
    """
    works = list(works)
    steps: set[int] = set()
    for work in works:
        steps.update(work.steps)
    steps.discard(FAR_STEP)
    done_s = 0.0
    for step in sorted(steps):
        for work in works:
            done_s += work.work_in(step)
        starts_by = (step + 1) * STEP_S
        if starts_by < since:
            continue
        room_s = max(0.0, starts_by - now + margin_s) * slots
        if done_s > room_s:
            return Overload(step, done_s - room_s)
    return None
