"""The tasks of a pool that wait for an executor, in their order.

All waiting tasks of a step have the same place in the order except for
their numbers, so the queue is ordered by step.  A step's sort key is kept
until one of its parts changes, and the steps stay sorted between two plans,
so that ordering a long queue again costs little.  Of a waiting task, the queue
has a bit; see `step_tasks`.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from operator import attrgetter
from typing import TYPE_CHECKING, Final

from lycheelug.scarcity import ORDERINGS, SlackErrors, StepFacts
from lycheelug.workloads.step_tasks import numbers_in

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lycheelug.scarcity.orderings import SortKey
    from lycheelug.workloads.forecast import DeadlineForecast
    from lycheelug.workloads.jobs import Job, Task
    from lycheelug.workloads.model import StepSpec
    from lycheelug.workloads.runtimes import RunTimes
    from lycheelug.workloads.step_tasks import StepTasks

    # Job, occurrence and step.
    StepKey = tuple[str, int, int]
    Ordering = Callable[[StepFacts], tuple[SortKey, float]]

__all__ = ["DEFAULT_ORDERING", "ReadyQueue", "ReadyStep"]

DEFAULT_ORDERING: Final = "feasibility"


class ReadyStep:
    """The waiting tasks of one step of an occurrence."""

    __slots__ = (
        "_forecast",
        "_had_started",
        "_key_from_ms",
        "_key_until_ms",
        "job",
        "name",
        "sort_key",
        "tasks",
        "waiting",
    )

    def __init__(self, tasks: StepTasks) -> None:
        self.job: Job = tasks.job
        self.name: StepKey = tasks.key
        # All tasks of the step.
        self.tasks = tasks
        # The numbers of those that wait, as a set of bits.
        self.waiting = 0
        self.sort_key: SortKey = ()
        # What the sort key was computed from, and the Unix times in
        # milliseconds between which it is valid.
        self._forecast: DeadlineForecast | None = None
        self._had_started = False
        self._key_from_ms = 0
        self._key_until_ms = 0.0

    @property
    def spec(self) -> StepSpec:
        """The step as it was submitted."""
        return self.tasks.step

    @property
    def count(self) -> int:
        """How many tasks wait."""
        return self.waiting.bit_count()

    def in_order(self) -> Iterator[Task]:
        """Return the waiting tasks in the order in which they are placed."""
        for number in numbers_in(self.waiting):
            yield self.tasks.peek(number)

    def kept_after(self, task: Task) -> Iterator[Task]:
        """Return those after a task that were started before, in order."""
        for number in self.tasks.kept_numbers():
            if number > task.name.number and self.waiting >> number & 1:
                yield self.tasks.peek(number)

    def update_sort_key(
        self,
        unix_ms: int,
        run_times: RunTimes,
        ordering: Ordering,
        slack_errors: SlackErrors,
    ) -> None:
        """Compute the sort key by which steps are placed, lowest first."""
        job = self.job
        forecast = job.forecast(self.name[1], run_times)
        if (
            forecast is self._forecast
            and job.has_started is self._had_started
            and self._key_from_ms <= unix_ms < self._key_until_ms
        ):
            return
        self._forecast = forecast
        self._had_started = job.has_started
        self._key_from_ms = unix_ms
        facts = StepFacts(
            self.name,
            job.policy.priority,
            job.is_long_running,
            job.has_started,
            job.is_over_share,
            unix_ms,
            forecast.due_ms,
            forecast.objective_ms,
            forecast.late_limit_ms,
            forecast.remaining_s[self.name[2]] * 1000,
            slack_errors.margin_s(job.policy.name) * 1000,
            forecast.work,
        )
        self.sort_key, self._key_until_ms = ordering(facts)


class ReadyQueue:
    """All waiting tasks of a pool."""

    __slots__ = (
        "_order",
        "_ordering",
        "_resume_from",
        "_step_counts",
        "_steps",
        "_unbegun",
        "defects",
        "slack_errors",
    )

    def __init__(self, ordering: str = DEFAULT_ORDERING) -> None:
        self._ordering = ORDERINGS.get(ordering)
        # What jobs needed beyond their forecasts.
        self.slack_errors = SlackErrors()
        self._steps: dict[StepKey, ReadyStep] = {}
        # The number of these steps, by job.
        self._step_counts: Counter[str] = Counter()
        # The steps in the order of the last plan; those without tasks are
        # dropped by the next one.
        self._order: list[ReadyStep] = []
        # The sort key of the first step that the last plan had no budget to
        # consider; None if there is none.
        self._resume_from: SortKey | None = None
        # Jobs that were added without the begun mark, oldest first.
        self._unbegun: dict[str, Job] = {}
        # Jobs that can't be scheduled, with the unexpected errors.
        self.defects: list[tuple[Job, Exception]] = []

    @property
    def steps(self) -> list[ReadyStep]:
        """The steps with waiting tasks, in no particular order."""
        return list(self._steps.values())

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return sum(step.count for step in self._steps.values())

    def __bool__(self) -> bool:
        """Return whether any task waits."""
        return bool(self._steps)

    def count_steps(self, job: Job) -> int:
        """Return the number of a job's steps with waiting tasks."""
        return self._step_counts[job.job_id]

    def add_step(self, tasks: StepTasks) -> None:
        """Add the tasks of a step that has become ready."""
        waiting = tasks.waiting
        if waiting:
            self._ready_step(tasks).waiting |= waiting

    def add(self, task: Task) -> None:
        """Add a task; does nothing if it is there."""
        name = task.name
        tasks = task.job.occurrences[name.occurrence][name.step]
        self._ready_step(tasks).waiting |= 1 << name.number

    def discard(self, task: Task) -> None:
        """Remove a task, if it is there."""
        step = self._steps.get(task.name[:3])
        if step is None:
            return
        step.waiting &= ~(1 << task.name.number)
        if not step.waiting:
            self._remove(step)

    def discard_job(self, job: Job) -> None:
        """Remove all tasks of a job."""
        self._unbegun.pop(job.job_id, None)
        for step in self._steps_of(job):
            self._remove(step)

    def tasks_of(self, job: Job) -> Iterator[Task]:
        """Return the waiting tasks of a job in their order."""
        for step in self._steps_of(job):
            yield from step.in_order()

    def restart_wait(self, job: Job, now: float) -> None:
        """Let the waiting tasks of a job count as ready only from now on."""
        for step in self._steps_of(job):
            step.tasks.restart_wait(numbers_in(step.waiting), now)

    def long_running_steps(self) -> list[ReadyStep]:
        """Return the steps with waiting long-running tasks, in no order."""
        return [step for step in self._steps.values() if step.spec.lasts]

    def jobs_to_begin(self) -> list[Job]:
        """Return the jobs with waiting tasks and without the begun mark."""
        found: list[Job] = []
        for job in list(self._unbegun.values()):
            if job.progress.begun_term:
                del self._unbegun[job.job_id]
            elif self._step_counts[job.job_id]:
                found.append(job)
        return found

    def ordered(self, unix_ms: int, run_times: RunTimes) -> list[ReadyStep]:
        """Return the steps with waiting tasks, in the order of placement."""
        order: list[ReadyStep] = []
        for step in self._order:
            if not step.waiting:
                continue
            try:
                step.update_sort_key(
                    unix_ms, run_times, self._ordering, self.slack_errors
                )
            except Exception as error:
                self.defects.append((step.job, error))
                continue
            order.append(step)
        order.sort(key=attrgetter("sort_key"))
        self._order = order
        return list(order)

    def resume_from(self, step: ReadyStep) -> None:
        """Let the next plan begin with a step that this one doesn't reach."""
        self._resume_from = step.sort_key

    def take_resumed(self, steps: list[ReadyStep]) -> list[ReadyStep]:
        """Return ordered steps from where the last plan has ended.

        The others follow, so that no step waits for ever because those
        before it take up the budget of each plan.
        """
        if self._resume_from is None:
            return steps
        first = bisect_left(
            steps, self._resume_from, key=attrgetter("sort_key")
        )
        self._resume_from = None
        return steps[first:] + steps[:first]

    def _ready_step(self, tasks: StepTasks) -> ReadyStep:
        """Return the waiting tasks of a step, to which one is added."""
        step = self._steps.get(tasks.key)
        if step is None:
            step = ReadyStep(tasks)
            job = step.job
            self._steps[step.name] = step
            self._step_counts[job.job_id] += 1
            self._order.append(step)
            if not job.progress.begun_term:
                self._unbegun[job.job_id] = job
        return step

    def _remove(self, step: ReadyStep) -> None:
        """Remove a step of which no task waits any more."""
        step.waiting = 0
        del self._steps[step.name]
        job_id = step.job.job_id
        self._step_counts[job_id] -= 1
        if not self._step_counts[job_id]:
            del self._step_counts[job_id]

    def _steps_of(self, job: Job) -> list[ReadyStep]:
        """Return the steps of a job with waiting tasks, in their order."""
        found: list[ReadyStep] = []
        if not self._step_counts[job.job_id]:
            return found
        for occurrence, steps in job.occurrences.items():
            for number in range(len(steps)):
                step = self._steps.get((job.job_id, occurrence, number))
                if step is not None:
                    found.append(step)
        return found
