"""Applies executors' task reports and order answers to a pool's schedule.

If a run's start or stop was answered before a report was requested and the
report doesn't list the run, then the run isn't on the executor, because the
executor made the report after it had answered.  An unanswered order may still
be carried out after the report was made, so the absence of its run from the
report proves nothing, unless the poll had a higher fencing token: then the
executor rejects the order from now on.  Neither does it prove anything if the
report leaves ends out: the run may be among them.

The first report of a new incarnation counts only as the answer of a barrier
(see `order_tokens`).  The answer of any other poll tells that there is one,
and no more: calls that were meant for the former incarnation may still reach
it.

Sending the orders and acknowledging the ends is left to the caller.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executor_clock import ExecutorClock
from lycheelug.workloads.executors import EndKind
from lycheelug.workloads.incarnation_changes import (
    record_acceptance,
    record_restart,
)
from lycheelug.workloads.jobs import TaskState
from lycheelug.workloads.placement_hints import StepName
from lycheelug.workloads.pool import START_BACKOFF_S
from lycheelug.workloads.runs import Run, RunPhase
from lycheelug.workloads.slack_errors import record_slack_error

if TYPE_CHECKING:
    from lycheelug.workloads.executors import (
        EndReport,
        ExecutorView,
        RunReport,
        TaskReport,
    )
    from lycheelug.workloads.jobs import Job, Task
    from lycheelug.workloads.model import Resources, TaskName
    from lycheelug.workloads.polls import PollCall
    from lycheelug.workloads.pool import PoolSchedule

__all__ = [
    "StartAnswer",
    "apply_start_answer",
    "apply_stop_answer",
    "apply_task_report",
]

# Delay before a task whose start had no effect is started again.
REJECTED_WAIT_S: Final = 0.05


class StartAnswer(Enum):
    """Outcome of a start order."""

    STARTED = auto()
    # The executor has seen a higher fencing token.
    FENCED = auto()
    # Not carried out: the run number is outdated or the deadline passed.
    REJECTED = auto()
    # The executor rejects the placement hint service's ticket.
    BAD_TICKET = auto()
    # The executor lacks free capacity or isn't healthy.
    NO_ROOM = auto()
    # The order wasn't sent, as no connection could be made.
    NOT_SENT = auto()
    # Unanswered: it may have been carried out, or may yet be.
    NO_ANSWER = auto()


def apply_task_report(
    schedule: PoolSchedule,
    view: ExecutorView,
    report: TaskReport,
    call: PollCall,
    now: float,
    unix_ms: int,
) -> list[EndReport] | None:
    """Apply the report that a poll returned; return the ends that are new.

    The result is None if another poll has to confirm the report, as it is the
    first one of a new incarnation.
    """
    is_first = not view.has_accepted_term
    is_restarted = not is_first and report.born_ms not in (0, view.born_ms)
    if is_restarted and not call.is_barrier:
        # No more deadlines on the clock of the former one.
        view.clock = ExecutorClock()
        view.expect_restart()
        return None
    reported = {(each.task, each.run) for each in report.running}
    if is_restarted:
        # Also if it started earlier, as the host's clock was set back.
        record_restart(schedule, view, report, reported, now)
    elif is_first:
        # The start time in the entry may be wrong.
        view.begin_incarnation(report.born_ms or view.born_ms)
    view.is_located = True
    schedule.crashes.record_answer(view, is_first)
    if is_first:
        record_acceptance(schedule, view, now)
    elif is_restarted:
        # It may have taken a deadline on the former clock.
        view.expect_long_leases(now)
    if call.is_barrier:
        view.record_barrier(call.barrier_number)
        schedule.late_starts.release(view.executor_id)
    view.last_forgotten_end = max(view.last_forgotten_end, call.acknowledged)
    if now >= view.long_leases_end_at:
        view.recorded_born_ms = view.born_ms
    view.last_report_at = now
    view.polled_at = call.sent_at
    view.lists_all_ends = report.lists_all_ends
    view.has_listed_ends |= report.lists_all_ends
    view.clock.record(report.clock_ms, now)
    for entry in report.running:
        schedule.handled_job = schedule.jobs.get(entry.task.job)
        _apply_running(schedule, view, entry, now)
    ends: list[EndReport] = []
    for end in report.ended:
        if end.number <= view.last_applied_end:
            continue
        view.last_applied_end = end.number
        ends.append(end)
        schedule.handled_job = schedule.jobs.get(end.task.job)
        run = view.runs.get((end.task, end.run))
        _apply_end(schedule, view, end, now, unix_ms)
        if run is not None:
            schedule.neighbors.record_end(view, run, now)
    if report.lists_all_ends:
        _free_absent_runs(schedule, view, reported, call, now)
    schedule.handled_job = None
    schedule.neighbors.record_response_times(view, now)
    return ends


def _free_absent_runs(
    schedule: PoolSchedule,
    view: ExecutorView,
    reported: set[tuple[TaskName, int]],
    call: PollCall,
    now: float,
) -> None:
    """Drop the runs that a complete report proves not to be running."""
    for run in list(view.runs.values()):
        if run.key not in reported and _is_absent(run, call):
            view.drop_run(run.key)
            schedule.free_task(run, view, now)


def apply_start_answer(
    schedule: PoolSchedule,
    view: ExecutorView,
    task: Task,
    number: int,
    answer: StartAnswer,
    now: float,
    is_located: bool = True,
) -> None:
    """Apply the outcome of a start order.

    `is_located` tells whether it is known that the answer comes from the
    incarnation that was reported last.
    """
    run = view.runs.get((task.name, number))
    if answer not in (StartAnswer.STARTED, StartAnswer.NO_ANSWER):
        schedule.crashes.record_not_started(task, view)
    if run is None or run.phase not in (RunPhase.STARTING, RunPhase.UNKNOWN):
        return
    if answer is StartAnswer.STARTED:
        run.confirmed_at = now
        run.phase = RunPhase.RUNNING
        run.is_located = is_located
        task.job.has_started = True
        if task.job.policy.needs_placement_hint:
            schedule.placement_hints.record_accepted(StepName.of(task.name))
        return
    if answer is StartAnswer.NO_ANSWER:
        run.phase = RunPhase.UNKNOWN
        run.unknown_at = now
        view.require_barrier()
        return
    if answer is StartAnswer.BAD_TICKET:
        schedule.placement_hints.discard_ticket(
            StepName.of(task.name), view.executor_id, now
        )
    if answer in (StartAnswer.NO_ROOM, StartAnswer.NOT_SENT):
        view.backoff_until = max(view.backoff_until, now + START_BACKOFF_S)
    view.drop_run(run.key)
    schedule.free_task(run, view, now)
    task.not_before = now + REJECTED_WAIT_S


def apply_stop_answer(
    view: ExecutorView,
    key: tuple[TaskName, int],
    answered: bool,
    now: float,
) -> None:
    """Apply the outcome of a stop; one without an answer is sent again."""
    run = view.runs.get(key)
    if run is None:
        return
    if answered:
        run.stop_answered_at = now
    else:
        run.stop_sent = False


def _apply_running(
    schedule: PoolSchedule,
    view: ExecutorView,
    entry: RunReport,
    now: float,
) -> None:
    """Apply the report of one active run."""
    run = view.runs.get((entry.task, entry.run))
    if run is None:
        run = _adopt_run(schedule, view, entry, now)
    if run.phase in (RunPhase.STARTING, RunPhase.UNKNOWN):
        run.phase = RunPhase.RUNNING
    run.is_located = True
    if run.confirmed_at is None:
        run.confirmed_at = now
    if run.task is not None:
        run.task.job.has_started = True
    if run.task is not None and run.task.job.progress.crashes:
        schedule.crashes.record_running(run, run.task, now)
    if entry.percent != run.percent or entry.checkpoint != run.checkpoint:
        run.progressed_at = now
    run.percent = entry.percent
    run.load = entry.load
    run.checkpoint = entry.checkpoint


def _adopt_run(
    schedule: PoolSchedule,
    view: ExecutorView,
    entry: RunReport,
    now: float,
) -> Run:
    """Add a reported run that this owner has not ordered.

    The run is adopted if its task is waiting for an executor and has had no
    later run; otherwise it will be stopped.  The last run itself is reported
    if it was given up with a former incarnation.
    """
    job = schedule.jobs.get(entry.task.job)
    task = job.find_task(entry.task) if job is not None else None
    resources = _run_resources(view, job, entry.task)
    run = Run(entry.task, entry.run, resources, now, None)
    run.phase = RunPhase.RUNNING
    run.is_adopted = True
    if job is not None and 0 <= entry.task.step < len(job.record.steps):
        run.charge(job.record.tenant, job.record.steps[entry.task.step])
    if job is not None and job.is_suspect:
        run.is_isolated = view.executor_id in job.progress.reserved
        if run.is_isolated:
            schedule.isolation.restore(view.executor_id, job.job_id)
    view.add_run(run)
    if task is None or job is None or job.is_final:
        return run
    is_wanted = task.state is TaskState.READY and entry.run >= task.last_run
    if not is_wanted:
        return run
    run.task = task
    schedule.ready.discard(task)
    task.state = TaskState.PLACED
    task.executor_id = view.executor_id
    job.home_zone = view.info.zone
    task.run = entry.run
    task.last_run = entry.run
    return run


def _run_resources(
    view: ExecutorView, job: Job | None, name: TaskName
) -> Resources:
    """Return the resources that a reported run uses.

    A run uses them until it has ended, even if its job is already final.  A
    run of an unknown job is assumed to use the executor's whole capacity.
    """
    if job is None or not 0 <= name.step < len(job.record.steps):
        return view.info.capacity
    return job.record.steps[name.step].resources


def _apply_end(
    schedule: PoolSchedule,
    view: ExecutorView,
    end: EndReport,
    now: float,
    unix_ms: int,
) -> None:
    """Apply the reported end of a run."""
    run = view.drop_run((end.task, end.run))
    job = schedule.jobs.get(end.task.job)
    task = job.find_task(end.task) if job is not None else None
    if job is None or task is None:
        return
    task.last_run = max(task.last_run, end.run)
    job.has_started = True
    if end.kind is EndKind.DONE:
        view.health.record_done(now)
        _record_run_time(schedule, view, task, run, now)
        _apply_done(schedule, task, now, unix_ms)
        return
    if end.kind is EndKind.FAILED:
        task.avoided_executor = view.executor_id
        view.health.record_failure(task.name.job, now)
        job.record_failure(task, end.run, unix_ms)
    if end.checkpoint:
        job.record_checkpoint(task, end.checkpoint)
    if job.is_final:
        schedule.ready.discard(task)
        schedule.dequeue_job(job)
        return
    if run is not None:
        schedule.free_task(run, view, now)


def _record_run_time(
    schedule: PoolSchedule,
    view: ExecutorView,
    task: Task,
    run: Run | None,
    now: float,
) -> None:
    """Record the run time of a run observed from its start to its end.

    Runs that resumed from a checkpoint did only part of the work and are
    left out.
    """
    if run is None or run.confirmed_at is None or task.checkpoint:
        return
    queue = task.job.policy.name
    estimate_s = task.step.estimate_ms / 1000
    run_s = now - run.confirmed_at
    schedule.neighbors.record_done(view, run, now)
    task.job.timing.record_run(task.name.step, run_s)
    schedule.run_times.record(queue, estimate_s, run_s)


def _apply_done(
    schedule: PoolSchedule, task: Task, now: float, unix_ms: int
) -> None:
    """Mark a task as done; the members of a gang are done together."""
    job = task.job
    members = job.step_tasks(task) if task.step.is_gang else [task]
    for member in members:
        schedule.ready.discard(member)
        schedule.make_ready(job.record_done(member, unix_ms, now))
    if not job.is_open(task.name.occurrence, task.name.step):
        schedule.placement_hints.forget_step(StepName.of(task.name))
    record_slack_error(schedule, job, now)


def _is_absent(run: Run, call: PollCall) -> bool:
    """Return whether a run missing from a report is surely not running.

    Its start was answered before the report was requested, or the executor
    rejects that start from now on.
    """
    if run.token < call.token:
        return True
    if run.stop_answered_at is not None:
        return run.stop_answered_at < call.sent_at
    if run.phase in (RunPhase.STARTING, RunPhase.UNKNOWN):
        return False
    return run.confirmed_at is not None and run.confirmed_at < call.sent_at
