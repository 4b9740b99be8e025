"""In-memory state of one accepted job: occurrences, steps and tasks.

A task becomes ready once all tasks of the steps that its step depends on
are done.  `step_tasks` tells which tasks are kept in memory.

Every end of a run updates the job's progress record; the owner writes that
record to the store before it acknowledges the end to the executor, so that no
result is lost in a handover.  Placement and the sending of orders happen
elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.scarcity import JobTiming
from lycheelug.workloads.forecast import DeadlineForecast
from lycheelug.workloads.model import (
    FailureCause,
    JobState,
    TaskName,
    is_long_running,
)
from lycheelug.workloads.open_occurrences import OPEN_TASKS_MAX, may_open
from lycheelug.workloads.progress import ProgressRecord, step_key
from lycheelug.workloads.step_tasks import StepTasks
from lycheelug.workloads.suspicion import Suspicion
from lycheelug.workloads.tasks import Task, TaskState

if TYPE_CHECKING:
    from lycheelug.workloads.job_index import JobIndex
    from lycheelug.workloads.model import JobRecord, QueuePolicy
    from lycheelug.workloads.runtimes import RunTimes

__all__ = ["OPEN_TASKS_MAX", "Job", "Task", "TaskState"]


class Job:
    """One accepted job with its open occurrences."""

    __slots__ = (
        "_forecasts",
        "_index",
        "_is_dirty",
        "begin_is_stored",
        "cancelled",
        "due_ms",
        "has_started",
        "has_unsaved_crashes",
        "home_zone",
        "is_long_running",
        "is_over_share",
        "job_id",
        "next_occurrence",
        "occurrences",
        "open_steps",
        "part_count",
        "policy",
        "progress",
        "record",
        "row_version",
        "sequence",
        "suspicion",
        "timing",
    )

    def __init__(
        self,
        job_id: str,
        record: JobRecord,
        policy: QueuePolicy,
        progress: ProgressRecord | None,
    ) -> None:
        self.job_id = job_id
        self.record = record
        self.policy = policy
        self.progress = progress or ProgressRecord()
        self.progress.tenant = record.tenant
        self.suspicion = Suspicion(self.progress)
        # Version of the stored progress record; 0 if none is stored.
        self.row_version = 0
        # The further rows of that record that may exist.
        self.part_count = 0
        # Whether at least one task is known to have been started.
        self.has_started = bool(
            self.progress.done
            or self.progress.failures
            or self.progress.finished_count
        )
        # Whether the begun mark (`begun_term`) is stored.
        self.begin_is_stored = self.progress.begun_term > 0
        self.timing = JobTiming()
        # Whether crash records or reservations aren't stored yet.
        self.has_unsaved_crashes = False
        self.cancelled = self.progress.state == JobState.CANCELLED
        self._is_dirty = False
        self._index: JobIndex | None = None
        # Its place among the jobs of the pool, in the order they were added.
        self.sequence = 0
        self.is_long_running = is_long_running(record.steps)
        self.is_over_share = False
        # The first occurrence that was not opened yet.
        self.next_occurrence = self.progress.finished_below
        # The tasks of the open occurrences, by step.
        self.occurrences: dict[int, list[StepTasks]] = {}
        # The unfinished tasks of their steps, if any, and their due times.
        self.open_steps: dict[int, dict[int, int]] = {}
        self.due_ms: dict[int, int] = {}
        # Zone of the executor on which a task was last placed.
        self.home_zone = ""
        self._forecasts: dict[int, DeadlineForecast] = {}

    @property
    def is_dirty(self) -> bool:
        """Whether the progress record has changes that aren't stored yet."""
        return self._is_dirty

    @is_dirty.setter
    def is_dirty(self, is_dirty: bool) -> None:
        self._is_dirty = is_dirty
        if self._index is None:
            return
        if is_dirty:
            self._index.dirty[self.job_id] = self
        else:
            self._index.dirty.pop(self.job_id, None)

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that none of its tasks may run."""
        return self.cancelled or self.progress.state in JobState.FINAL

    @property
    def is_suspect(self) -> bool:
        """Whether one of its tasks may have crashed an executor."""
        return self.suspicion.youngest_ms is not None

    @property
    def is_begun(self) -> bool:
        """Whether it is stored that a task may have been started."""
        return self.begin_is_stored

    def mark_crashes_changed(self) -> None:
        """Let records or reservations be stored before the next start."""
        self.is_dirty = True
        self.has_unsaved_crashes = True
        self.suspicion.record_change()

    def mark_begun(self, term: int) -> None:
        """Record that tasks are about to be started."""
        self.progress.begun_term = term
        if self.progress.state == JobState.QUEUED:
            self.progress.state = JobState.RUNNING
        self.is_dirty = True

    def record_begin_stored(self, term: int, version: int) -> None:
        """Record that the begun mark is stored."""
        if not self.progress.begun_term:
            self.mark_begun(term)
        self.begin_is_stored = True
        self.row_version = max(self.row_version, version)

    def set_index(self, index: JobIndex | None) -> None:
        """Keep an index of jobs up to date from now on; None for no index."""
        if self._index is not None:
            self._index.remove(self)
        self._index = index
        if index is not None:
            index.add(self)

    def open_due_occurrences(
        self, unix_ms: int, now: float, count_max: int = OPEN_TASKS_MAX
    ) -> list[StepTasks]:
        """Open occurrences that are due; return the steps that are ready.

        At most `count_max` are opened.  While too many are open, the next one
        waits for one to finish.
        """
        ready: list[StepTasks] = []
        if self.is_final:
            return ready
        opened = 0
        while self.next_occurrence < self.record.occurrences:
            number = self.next_occurrence
            due_ms = self.record.due_ms(number)
            if self.record.schedule and due_ms > unix_ms:
                break
            if not self.progress.has_finished(number):
                if opened >= count_max or not may_open(self):
                    break
                opened += 1
                self.due_ms[number] = due_ms
                ready.extend(self._open(number, now))
            self.next_occurrence += 1
        return ready

    def find_task(self, name: TaskName) -> Task | None:
        """Return a task of an open occurrence; keep it until it is done."""
        task = self.peek_task(name)
        if task is not None and task.state is not TaskState.DONE:
            return self.tasks_beside(task).keep(task)
        return task

    def peek_task(self, name: TaskName) -> Task | None:
        """Return a task of an open occurrence, or None if there is none."""
        steps = self.occurrences.get(name.occurrence)
        if steps is None or not 0 <= name.step < len(steps):
            return None
        tasks = steps[name.step]
        return tasks.peek(name.number) if name.number < len(tasks) else None

    def tasks(self) -> list[Task]:
        """Return all tasks of the open occurrences, without keeping them."""
        found: list[Task] = []
        for steps in self.occurrences.values():
            for tasks in steps:
                found.extend(tasks)
        return found

    def step_tasks(self, task: Task) -> list[Task]:
        """Return all tasks of a task's step, without keeping them."""
        return list(self.tasks_beside(task))

    def is_open(self, occurrence: int, step: int) -> bool:
        """Return whether a step has unfinished tasks."""
        return step in self.open_steps.get(occurrence, ())

    def tasks_beside(self, task: Task) -> StepTasks:
        """Return the tasks of a task's step and occurrence."""
        return self.occurrences[task.name.occurrence][task.name.step]

    # --- Ends of runs.

    def record_done(
        self, task: Task, unix_ms: int, now: float
    ) -> list[StepTasks]:
        """Mark a task as done; return the steps that become ready."""
        if task.state is TaskState.DONE:
            return []
        task.state = TaskState.DONE
        self.tasks_beside(task).mark_done(task.name.number)
        self.is_dirty = True
        name = task.name
        if task.crash_records:
            self.suspicion.forget()
        self.progress.record_done(name.occurrence, name.step, name.number)
        open_steps = self.open_steps[name.occurrence]
        open_steps[name.step] -= 1
        if open_steps[name.step]:
            return []
        return self._finish_step(name.occurrence, name.step, unix_ms, now)

    def record_failure(self, task: Task, run: int, unix_ms: int) -> None:
        """Count a failed run, once even if its end is reported twice.

        The job fails when a task has used up its attempts.  Long-running
        tasks have no limit on attempts, unlike the others of their job, and
        a task that is done needs none.
        """
        key = task.key
        if task.state is TaskState.DONE:
            return
        if task.step.lasts:
            task.failures += 1
            return
        if not self.progress.count_failed_run(key, run):
            return
        task.failures += 1
        self.is_dirty = True
        self.progress.failures[key] = task.failures
        self.fail_if_exhausted(task, unix_ms)

    def fail_if_exhausted(self, task: Task, unix_ms: int) -> None:
        """Fail the job if a task has used up its attempts."""
        if not self.policy.is_exhausted(task.failures):
            return
        task.state = TaskState.EXHAUSTED
        reason = f"task {task.key} has failed {task.failures} times"
        self._fail(FailureCause.ATTEMPTS, reason, unix_ms)

    def set_aside(
        self,
        reason: str,
        unix_ms: int,
        cause: FailureCause = FailureCause.SET_ASIDE,
    ) -> None:
        """Fail a job that can't be scheduled, so that others can be."""
        if not self.is_final:
            self._fail(cause, reason, unix_ms)

    def record_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Record the newest checkpoint of a task."""
        if not checkpoint or checkpoint == task.checkpoint:
            return
        task.checkpoint = checkpoint
        self.progress.checkpoints[task.key] = checkpoint
        self.is_dirty = True

    def cancel(self, unix_ms: int) -> None:
        """Mark the job as cancelled, unless it has already ended."""
        if self.is_final:
            return
        self.cancelled = True
        self._enter_final_state(JobState.CANCELLED, unix_ms)

    # --- Forecasts.

    def forecast(
        self, occurrence: int, run_times: RunTimes
    ) -> DeadlineForecast:
        """Return the deadline forecast of an occurrence.

        It is cached until a step ends or the queue's policy changes, as
        each finished run of another job changes the run times learned for
        the queue, and would change the order of the waiting tasks.
        """
        found = self._forecasts.get(occurrence)
        if found is None or found.policy is not self.policy:
            due_ms = self.due_ms.get(occurrence, self.record.accepted_ms)
            found = DeadlineForecast(
                self.record, self.policy, run_times, due_ms
            )
            self._forecasts[occurrence] = found
        return found

    # --- Implementation.

    def _open(self, number: int, now: float) -> list[StepTasks]:
        """Open an occurrence with what is recorded of its tasks."""
        steps: list[StepTasks] = []
        open_steps: dict[int, int] = {}
        for position, step in enumerate(self.record.steps):
            tasks = StepTasks(self, number, position)
            unfinished = step.count - tasks.done_count
            if unfinished:
                open_steps[position] = unfinished
            steps.append(tasks)
        self.occurrences[number] = steps
        self.open_steps[number] = open_steps
        if self._index is not None:
            self._index.open_steps += len(steps)
        return self._unblock(number, now)

    def _unblock(self, number: int, now: float) -> list[StepTasks]:
        """Make steps ready whose dependencies are all done; return them."""
        ready: list[StepTasks] = []
        open_steps = self.open_steps[number]
        for position, step in enumerate(self.record.steps):
            tasks = self.occurrences[number][position]
            if position not in open_steps or tasks.is_ready:
                continue
            if not open_steps.keys().isdisjoint(step.depends_on):
                continue
            tasks.mark_ready(now)
            ready.append(tasks)
        return ready

    def _finish_step(
        self, number: int, position: int, unix_ms: int, now: float
    ) -> list[StepTasks]:
        """Close a finished step; return the steps that become ready."""
        self._forecasts.pop(number, None)
        open_steps = self.open_steps[number]
        open_steps.pop(position, None)
        if open_steps:
            return self._unblock(number, now)
        for done_step in range(len(self.record.steps)):
            self.progress.done.pop(step_key(number, done_step), None)
        if self.record.schedule is not None:
            self.progress.forget_failures(number, self.record.steps)
        self.progress.record_finished(number)
        if self._index is not None:
            self._index.open_steps -= len(self.record.steps)
        del self.occurrences[number]
        del self.open_steps[number]
        self.due_ms.pop(number, None)
        is_last = self.progress.finished_count == self.record.occurrences
        # The last runs of a cancelled job may still be done.
        if is_last and not self.is_final:
            self._enter_final_state(JobState.COMPLETED, unix_ms)
        return []

    def _fail(self, cause: FailureCause, reason: str, unix_ms: int) -> None:
        """Fail the job, and let the owner log why."""
        self.progress.reason = reason
        self._enter_final_state(JobState.FAILED, unix_ms)
        if self._index is not None:
            self._index.failed.append((self, cause))

    def _enter_final_state(self, state: str, unix_ms: int) -> None:
        """Set a final state and the time at which it was reached."""
        self.progress.state = state
        self.progress.final_ms = unix_ms
        self.progress.reserved.clear()
        self.is_dirty = True
        if self._index is not None:
            self._index.record_end(self)
