"""Takes executors' lists and answers into a pool's schedule.

A list was asked for at `asked_at`.  A run whose start or stop was answered
before that moment, and which the list leaves out, is not there: the
executor made the list after it gave that answer.  An order without an
answer may be carried out later than the list, so it proves nothing.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import EndKind, Run, RunPhase
from lycheelug.workloads.jobs import TaskState
from lycheelug.workloads.placement_hints import StepName
from lycheelug.workloads.pool import SHUN_S

if TYPE_CHECKING:
    from lycheelug.workloads.executors import (
        EndReport,
        ExecutorView,
        RunReport,
        TaskReport,
    )
    from lycheelug.workloads.jobs import Job, Task
    from lycheelug.workloads.model import Resources, TaskName
    from lycheelug.workloads.pool import PoolSchedule

__all__ = [
    "StartAnswer",
    "apply_start_answer",
    "apply_stop_answer",
    "apply_task_report",
]

# A task whose start was rejected waits this long for the next one.
REJECTED_WAIT_S: Final = 0.05


class StartAnswer(Enum):
    """What came back of a start."""

    STARTED = auto()
    # The executor has seen a higher fencing token.
    FENCED = auto()
    # It has done nothing: an old run, or a passed deadline.
    REJECTED = auto()
    # It does not accept the advice service's ticket.
    BAD_TICKET = auto()
    # No room, or it is not healthy.
    NO_ROOM = auto()
    # The order never left, as no connection could be made.
    NOT_SENT = auto()
    # No answer: it may have been carried out, or may be later.
    NO_ANSWER = auto()


def apply_task_report(
    schedule: PoolSchedule,
    view: ExecutorView,
    report: TaskReport,
    polled_at: float,
    now: float,
    unix_ms: int,
) -> list[EndReport]:
    """Take in an executor's list; return the ends that are new."""
    if view.born_ms and report.born_ms > view.born_ms:
        _begin_new_life(schedule, view, report.born_ms, polled_at, now)
    elif view.born_ms == 0:
        view.born_ms = report.born_ms
    if not view.has_accepted_term:
        # No earlier owner extends a lease any more.
        view.has_accepted_term = True
        view.leases_end_at = now
        view.record_lease(now, schedule.lease_s)
    view.last_report_at = now
    view.polled_at = polled_at
    view.record_clock(report.clock_ms, now)
    listed = set()
    for entry in report.running:
        listed.add((entry.task, entry.run))
        _take_running(schedule, view, entry, now)
    ends: list[EndReport] = []
    for end in report.ended:
        if end.number <= view.last_applied_end:
            continue
        view.last_applied_end = end.number
        ends.append(end)
        _take_end(schedule, view, end, now, unix_ms)
    for run in list(view.runs.values()):
        if run.key not in listed and _is_ruled_out(run, polled_at):
            view.drop_run(run.key)
            schedule.free_task(run, view, now)
    return ends


def apply_start_answer(
    schedule: PoolSchedule,
    view: ExecutorView,
    task: Task,
    number: int,
    answer: StartAnswer,
    now: float,
) -> None:
    """Take in what came back of a start."""
    run = view.runs.get((task.name, number))
    if run is None or run.phase not in (RunPhase.STARTING, RunPhase.UNKNOWN):
        return
    if answer is StartAnswer.STARTED:
        run.confirmed_at = now
        run.phase = RunPhase.RUNNING
        task.job.has_started = True
        return
    if answer is StartAnswer.NO_ANSWER:
        run.phase = RunPhase.UNKNOWN
        run.unknown_at = now
        view.doubted_at = now
        return
    if answer is StartAnswer.BAD_TICKET:
        schedule.placement_hints.reject(
            StepName.of(task.name), view.executor_id
        )
    if answer in (StartAnswer.NO_ROOM, StartAnswer.NOT_SENT):
        view.shunned_until = max(view.shunned_until, now + SHUN_S)
    view.drop_run(run.key)
    schedule.free_task(run, view, now)
    task.held_until = now + REJECTED_WAIT_S


def apply_stop_answer(
    view: ExecutorView,
    key: tuple[TaskName, int],
    answered: bool,
    now: float,
) -> None:
    """Take in whether a stop was answered; without, it is sent again."""
    run = view.runs.get(key)
    if run is None:
        return
    if answered:
        run.stop_answered_at = now
    else:
        run.stop_sent = False


def _begin_new_life(
    schedule: PoolSchedule,
    view: ExecutorView,
    born_ms: int,
    polled_at: float,
    now: float,
) -> None:
    """Forget what the former life of an executor ran and listed.

    An order without an answer may have been carried out by the new life.
    """
    view.born_ms = born_ms
    view.last_applied_end = 0
    view.last_acked_end = 0
    view.clock_ms = None
    for run in list(view.runs.values()):
        if run.phase in (RunPhase.STARTING, RunPhase.UNKNOWN):
            continue
        if run.confirmed_at is not None and run.confirmed_at >= polled_at:
            continue
        view.drop_run(run.key)
        schedule.free_task(run, view, now)


def _take_running(
    schedule: PoolSchedule,
    view: ExecutorView,
    entry: RunReport,
    now: float,
) -> None:
    """Take in one entry of the list of runs."""
    run = view.runs.get((entry.task, entry.run))
    if run is None:
        run = _adopt(schedule, view, entry, now)
    if run.phase in (RunPhase.STARTING, RunPhase.UNKNOWN):
        run.phase = RunPhase.RUNNING
    if run.confirmed_at is None:
        run.confirmed_at = now
    if run.task is not None:
        run.task.job.has_started = True
    if entry.percent != run.percent or entry.checkpoint != run.checkpoint:
        run.progressed_at = now
    run.percent = entry.percent
    run.load = entry.load
    run.checkpoint = entry.checkpoint


def _adopt(
    schedule: PoolSchedule,
    view: ExecutorView,
    entry: RunReport,
    now: float,
) -> Run:
    """Take in a run that this owner has not ordered.

    It is kept where its task waits for a place and has had no later run;
    otherwise it is stopped.
    """
    job = schedule.jobs.get(entry.task.job)
    task = job.find(entry.task) if job is not None else None
    room = _room_of(view, job, entry.task)
    run = Run(entry.task, entry.run, room, now, None)
    run.phase = RunPhase.RUNNING
    view.add_run(run)
    if task is None or job is None or job.is_final:
        return run
    wanted = task.state is TaskState.READY and entry.run > task.last_run
    if not wanted:
        return run
    run.task = task
    schedule.settle(task)
    task.state = TaskState.PLACED
    task.executor_id = view.executor_id
    job.home_zone = view.info.zone
    task.run = entry.run
    task.last_run = entry.run
    return run


def _room_of(view: ExecutorView, job: Job | None, name: TaskName) -> Resources:
    """Return what a listed run takes, also when its job is over.

    It takes its room until it has ended.  Of a run that no job is known
    for, the whole executor is assumed.
    """
    if job is None or not 0 <= name.step < len(job.record.steps):
        return view.info.capacity
    return job.record.steps[name.step].resources


def _take_end(
    schedule: PoolSchedule,
    view: ExecutorView,
    end: EndReport,
    now: float,
    unix_ms: int,
) -> None:
    """Take in one end."""
    run = view.drop_run((end.task, end.run))
    job = schedule.jobs.get(end.task.job)
    task = job.find(end.task) if job is not None else None
    if job is None or task is None:
        return
    task.last_run = max(task.last_run, end.run)
    job.has_started = True
    if end.kind is EndKind.DONE:
        view.health.note_done(now)
        _note_run_time(schedule, task, run, now)
        _take_done(schedule, task, now, unix_ms)
        return
    if end.kind is EndKind.FAILED:
        task.avoided_executor = view.executor_id
        view.health.note_failed(task.name.job, now)
        job.note_failed(task, end.run, unix_ms)
    if end.checkpoint:
        job.note_checkpoint(task, end.checkpoint)
    if job.is_final:
        schedule.settle(task)
        schedule.drop_final(job)
        return
    if run is not None:
        schedule.free_task(run, view, now)


def _note_run_time(
    schedule: PoolSchedule, task: Task, run: Run | None, now: float
) -> None:
    """Learn from a run that was seen from its start to its end."""
    if run is None or run.confirmed_at is None or task.checkpoint:
        return
    schedule.run_times.note(
        task.job.policy.name,
        task.step.estimate_ms / 1000,
        now - run.confirmed_at,
    )


def _take_done(
    schedule: PoolSchedule, task: Task, now: float, unix_ms: int
) -> None:
    """Take in that a task is done; a gang's members are done together."""
    job = task.job
    members = job.gang(task) if task.step.is_gang else [task]
    for member in members:
        schedule.settle(member)
        schedule.make_ready(job.note_done(member, unix_ms, now))


def _is_ruled_out(run: Run, polled_at: float) -> bool:
    """Whether a run that a list leaves out can't be on the executor."""
    if run.stop_answered_at is not None:
        return run.stop_answered_at < polled_at
    if run.phase in (RunPhase.STARTING, RunPhase.UNKNOWN):
        return False
    return run.confirmed_at is not None and run.confirmed_at < polled_at
