"""The tasks of one step of an occurrence.

A step may have thousands of tasks, of which few run at a time.  The others
don't differ but for their numbers and for what the job's progress record has
of them, so no object is kept of them: `peek` makes one when it is needed.  A
task is kept from its first start, or the first report about it, until it is
done.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, overload

from lycheelug.workloads.model import TaskName
from lycheelug.workloads.progress import step_key
from lycheelug.workloads.tasks import Task, TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.model import StepSpec

__all__ = ["StepTasks", "numbers_in"]


class StepTasks:
    """All tasks of a step, in the order of their numbers."""

    __slots__ = (
        "_done",
        "_kept",
        "is_ready",
        "job",
        "occurrence",
        "position",
        "ready_at",
        "step",
    )

    def __init__(self, job: Job, occurrence: int, position: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.position = position
        self.step: StepSpec = job.record.steps[position]
        # Whether the steps before it are done.
        self.is_ready = False
        # Local time at which the tasks that aren't kept became ready.
        self.ready_at = 0.0
        # The numbers of the tasks that are done, as a set of bits.
        self._done = 0
        # Those that were started and aren't done, by number.
        self._kept: dict[int, Task] | None = None
        recorded = job.progress.done.get(step_key(occurrence, position), ())
        for number in recorded:
            if 0 <= number < self.step.count:
                self._done |= 1 << number

    @property
    def key(self) -> tuple[str, int, int]:
        """Job, occurrence and step."""
        return (self.job.job_id, self.occurrence, self.position)

    @property
    def done_count(self) -> int:
        """How many of the tasks are done."""
        return self._done.bit_count()

    @property
    def kept_count(self) -> int:
        """How many tasks are kept."""
        return len(self._kept) if self._kept is not None else 0

    @property
    def waiting(self) -> int:
        """The numbers of the tasks that wait, as a set of bits."""
        if not self.is_ready:
            return 0
        found = ((1 << self.step.count) - 1) & ~self._done
        for number, task in (self._kept or {}).items():
            if task.state is not TaskState.READY:
                found &= ~(1 << number)
        return found

    def __len__(self) -> int:
        """Return the number of tasks."""
        return self.step.count

    @overload
    def __getitem__(self, number: int) -> Task: ...

    @overload
    def __getitem__(self, number: slice) -> list[Task]: ...

    def __getitem__(self, number: int | slice) -> Task | list[Task]:
        """Return tasks by number, without keeping them."""
        if isinstance(number, slice):
            return [self.peek(each) for each in range(len(self))[number]]
        return self.peek(range(len(self))[number])

    def __iter__(self) -> Iterator[Task]:
        """Return all tasks, without keeping them."""
        for number in range(len(self)):
            yield self.peek(number)

    def is_kept(self, number: int) -> bool:
        """Return whether a task is kept."""
        return self._kept is not None and number in self._kept

    def kept_numbers(self) -> list[int]:
        """Return the numbers of the tasks that are kept, in order."""
        return sorted(self._kept) if self._kept is not None else []

    def peek(self, number: int) -> Task:
        """Return a task; what is changed of it is lost unless it is kept."""
        if self._kept is not None and number in self._kept:
            return self._kept[number]
        name = TaskName(
            self.job.job_id, self.occurrence, self.position, number
        )
        task = Task(self.job, name, self.step)
        task.ready_at = self.ready_at
        if self._done >> number & 1:
            task.state = TaskState.DONE
        elif self.is_ready:
            task.state = TaskState.READY
        task.restore(self.job.progress)
        return task

    def keep(self, task: Task) -> Task:
        """Keep a task that isn't done; return the one that is kept."""
        if self._kept is None:
            self._kept = {}
        return self._kept.setdefault(task.name.number, task)

    def drop(self, task: Task) -> None:
        """Keep a waiting task no longer: it was not started after all."""
        if self._kept is not None:
            self._kept.pop(task.name.number, None)

    def mark_done(self, number: int) -> None:
        """Record that a task is done."""
        self._done |= 1 << number
        if self._kept is not None:
            self._kept.pop(number, None)

    def mark_ready(self, now: float) -> None:
        """Record that the steps before it are done."""
        self.is_ready = True
        self.ready_at = now
        for task in (self._kept or {}).values():
            if task.state is TaskState.BLOCKED:
                task.state = TaskState.READY
                task.ready_at = now

    def restart_wait(self, numbers: Iterable[int], now: float) -> None:
        """Let waiting tasks count as ready only from now on."""
        self.ready_at = now
        if self._kept is None:
            return
        for number in numbers:
            if number in self._kept:
                self._kept[number].ready_at = now


def numbers_in(bits: int) -> Iterator[int]:
    """Return the numbers in a set of bits, in ascending order.

    >>> list(numbers_in(0b1011))
    [0, 1, 3]
    """
    digits = f"{bits:b}"[::-1]
    number = digits.find("1")
    while number >= 0:
        yield number
        number = digits.find("1", number + 1)
