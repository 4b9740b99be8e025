"""Finds the tasks that crash the executors they run on; no I/O.

An executor is lost when its runs are given up without having been reported
as ended.  One of its tasks may be to blame, and the others must not suffer
for it.  The evidence is kept in the jobs' progress records, one record for
each incarnation that was lost under a task, so that it survives a change of
owner and no loss is counted twice.

* The first loss accuses all tasks that ran there.  Until they are cleared,
  they run on executors reserved for their job (see `isolation`), the ones
  that were started last first.
* A second loss of a reserved executor convicts its job, which fails.  The
  loss is explained by that: it accuses no neighbour any more.
* A task is cleared when it is done, or when a run has gone on for longer
  than the one under which the executor was lost.
* Losses of several executors at nearly the same time, as of a rack, accuse
  nobody, except tasks that another loss has accused before.
* After `CRASHES_MAX` losses a task is given up in any case, or after
  `UNCERTAIN_CRASHES_MAX` if it is not certain that it ran there.

An executor that is only silent may be cut off: its loss counts for placement
at once, but convicts nobody until it is proved.  Executors that announced
their end, were moved or maintained accuse nobody.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

from lycheelug.workloads.crash_evidence import (
    CONVICTING_CRASHES,
    PROOFS,
    LossCause,
    awaits_proof,
    describe_loss,
    describe_verdict,
    find_open_task,
    is_convicting,
    is_of,
    is_same,
    unproved_executors,
)
from lycheelug.workloads.isolation import ISOLATION_MAX_S
from lycheelug.workloads.progress import CrashRecord, task_key
from lycheelug.workloads.silences import SHARED_MIN, Silence, Silences

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.model import TaskName
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.tasks import Task

__all__ = ["CrashLedger"]

# A run clears its task once it has gone on for this many times as long as the
# one under which the executor was lost, and for this much longer.
CLEARING_FACTOR: Final = 1.5
CLEARING_EXTRA_S: Final = 0.2
# A run that went on for longer is an unlikely cause of a crash.
UNLIKELY_AGE_S: Final = ISOLATION_MAX_S
# Assumed duration of a run whose start this owner has not seen.
UNKNOWN_AGE_S: Final = 2.0


class CrashLedger:
    """The evidence against the tasks of one pool."""

    __slots__ = ("_silences", "_trials", "events", "suspects")

    def __init__(self) -> None:
        # Name and fields of the events to log, oldest first.
        self.events: list[tuple[str, dict[str, Any]]] = []
        # The jobs with crash records.
        self.suspects: dict[str, Job] = {}
        self._silences = Silences()
        # Executors that an earlier owner had reserved: their start times and
        # jobs.  Whether the jobs' tasks ran there is not known yet.
        self._trials: dict[str, list[tuple[int, Job]]] = {}

    def add_job(self, job: Job) -> None:
        """Take over the evidence that an earlier owner stored."""
        if job.is_final or not job.progress.crashes:
            return
        self.suspects[job.job_id] = job
        for executor_id, born_ms in job.progress.reserved.items():
            self._trials.setdefault(executor_id, []).append((born_ms, job))

    # --- Evidence.

    def record_silence(
        self,
        schedule: PoolSchedule,
        view: ExecutorView,
        alive_until: float,
        now: float,
    ) -> None:
        """Record that an executor stopped answering.

        It was surely alive until `alive_until`, in local time.  The evidence
        is recorded now, because the proof may come seconds later and to a
        later owner.  An executor that was reserved for a job presumably
        crashed under it, so the job's earlier neighbours need no isolation.
        """
        if not view.runs or view.info.draining:
            return
        isolated = schedule.isolation.isolated_run(view)
        self._silences.add(
            view.executor_id,
            Silence(view.born_ms, alive_until, now, isolated is not None),
        )
        together = self._silences.coinciding(view.executor_id)
        is_shared = len(together) >= SHARED_MIN
        runs = list(view.runs.values())
        self._add_runs(schedule, view, runs, now, is_shared, is_proved=False)
        if is_shared:
            self._weaken(together)
        job = schedule.jobs.get(isolated.task_name.job) if isolated else None
        if job is None:
            return
        for records in job.progress.crashes.values():
            for record in records:
                self._excuse_others(job, record)

    def record_answer(self, view: ExecutorView, is_first: bool) -> None:
        """Record that an incarnation answers, maybe after a silence.

        Silent executors that answer again were only cut off.
        """
        silence = self._silences.remove(view.executor_id)
        if silence is not None or is_first:
            self._withdraw(view)
            self._prove(view.executor_id, born_before_ms=view.born_ms)

    def record_loss(
        self,
        schedule: PoolSchedule,
        view: ExecutorView,
        runs: list[Run],
        cause: LossCause,
        now: float,
    ) -> None:
        """Record that runs on an executor were given up."""
        is_planned = cause is LossCause.HOST_ORDER or view.info.draining
        is_gone = cause is LossCause.LEASE_ENDED and not view.has_entry
        is_proved = cause in PROOFS or is_gone
        silence = self._silences.get(view.executor_id)
        silent_at = silence.until if silence is not None else now
        is_shared = (
            len(self._silences.coinciding(view.executor_id)) >= SHARED_MIN
        )
        if runs:
            isolated = schedule.isolation.isolated_run(view)
            silent_s = now - silent_at
            self.events.append(
                describe_loss(view, runs, cause, is_shared, silent_s, isolated)
            )
        if is_planned:
            self._trials.pop(view.executor_id, None)
            self._silences.remove(view.executor_id)
            self._withdraw(view)
            return
        self._add_runs(schedule, view, runs, silent_at, is_shared, is_proved)
        if is_proved:
            self._prove(view.executor_id, born_before_ms=view.born_ms + 1)
            self._end_trials(view.executor_id, {run.task_name for run in runs})

    def resolve_trials(
        self, schedule: PoolSchedule, view: ExecutorView | None = None
    ) -> None:
        """Settle what earlier owners had reserved.

        An executor's first report shows what runs there.  Without `view`,
        all executors that still exist have reported.
        """
        if view is None:
            unproved = unproved_executors(self.suspects.values())
            for executor_id in unproved | set(self._trials):
                if executor_id not in schedule.executors:
                    self._prove(executor_id)
                    self._end_trials(executor_id, set())
            return
        for born_ms, _ in self._trials.get(view.executor_id, []):
            if born_ms and view.born_ms > born_ms:
                self._end_trials(view.executor_id, set())
                return
        self._trials.pop(view.executor_id, None)

    def record_not_started(self, task: Task, view: ExecutorView) -> None:
        """Record that a start on an executor was surely not carried out."""
        key = task_key(*task.name[1:])
        records = task.job.progress.crashes.get(key, [])
        kept = [
            record
            for record in records
            if record.is_certain or not is_of(record, view)
        ]
        self._replace(task.job, key, kept)

    def record_running(self, run: Run, task: Task, now: float) -> None:
        """Clear a task whose run goes on for longer than the lost one."""
        key = task_key(*task.name[1:])
        records = task.job.progress.crashes.get(key)
        if not records or task.run != run.run:
            return
        if len(records) >= CONVICTING_CRASHES and not task.step.lasts:
            return
        lost_s = max(record.age_ms for record in records) / 1000
        if now - run.ordered_at < lost_s * CLEARING_FACTOR + CLEARING_EXTRA_S:
            return
        self.events.append(describe_verdict(task.job, key, "cleared", records))
        self._replace(task.job, key, [])

    # --- Decisions.

    def judge(self, schedule: PoolSchedule, unix_ms: int) -> None:
        """Fail the jobs against which there is enough evidence."""
        for job in list(self.suspects.values()):
            if job.is_final or not job.progress.crashes:
                del self.suspects[job.job_id]
                continue
            for key, records in list(job.progress.crashes.items()):
                if not is_convicting(records):
                    continue
                self._convict(schedule, job, key, records, unix_ms)
                break

    def may_start(self, task: Task) -> bool:
        """Return whether the evidence allows another start of a task now.

        It must be stored first.  A task that two silent executors may have
        crashed under waits until it is known whether they did.
        """
        job = task.job
        if not job.progress.crashes:
            return True
        return not (job.has_unsaved_crashes or awaits_proof(task))

    # --- Implementation.

    def _convict(
        self,
        schedule: PoolSchedule,
        job: Job,
        key: str,
        records: list[CrashRecord],
        unix_ms: int,
    ) -> None:
        """Fail a job; its crashes accuse no other job any more."""
        executors = ", ".join(record.executor for record in records)
        reason = f"task {key} ran on executors that crashed: {executors}"
        self.events.append(describe_verdict(job, key, "given-up", records))
        schedule.set_aside_job(job, reason, unix_ms)
        for record in records:
            self._excuse_others(job, record, is_explained=True)

    def _excuse_others(
        self, job: Job, record: CrashRecord, is_explained: bool = False
    ) -> None:
        """Weaken the only evidence against the neighbours of a suspect.

        Of a task that was lost more than once, all records are kept.
        """
        for other in list(self.suspects.values()):
            if other is job:
                continue
            for key, records in list(other.progress.crashes.items()):
                if len(records) > 1 or not is_same(records[0], record):
                    continue
                if is_explained:
                    self._replace(other, key, [])
                elif not records[0].is_shared:
                    records[0].is_shared = True
                    _mark_changed(other)

    def _add_runs(
        self,
        schedule: PoolSchedule,
        view: ExecutorView,
        runs: list[Run],
        silent_at: float,
        is_shared: bool,
        is_proved: bool,
    ) -> None:
        """Add a record for each unfinished task of some runs."""
        isolated = schedule.isolation.isolated_run(view)
        for run in runs:
            task = find_open_task(schedule, run)
            if task is None:
                continue
            is_isolated = (
                isolated is not None
                and run.is_isolated
                and run.task_name.job == isolated.task_name.job
            )
            is_beside = isolated is not None and not is_isolated
            is_unlikely = silent_at - run.ordered_at > UNLIKELY_AGE_S
            age_s = silent_at - run.ordered_at
            if run.is_adopted:
                age_s = UNKNOWN_AGE_S
            self._add(
                task.job,
                task_key(*task.name[1:]),
                CrashRecord(
                    view.executor_id,
                    view.born_ms,
                    max(0, int(age_s * 1000)),
                    is_shared=is_beside or is_shared or is_unlikely,
                    is_proved=is_proved,
                    is_isolated=is_isolated,
                    is_certain=run.confirmed_at is not None,
                ),
            )

    def _add(self, job: Job, key: str, record: CrashRecord) -> None:
        """Add a record, or prove the one of the same incarnation."""
        records = job.progress.crashes.setdefault(key, [])
        self.suspects[job.job_id] = job
        for known in records:
            if is_same(known, record):
                known.is_proved = known.is_proved or record.is_proved
                known.is_certain = known.is_certain or record.is_certain
                _mark_changed(job)
                return
        if records:
            record.is_shared = False
        records.append(record)
        _mark_changed(job)

    def _withdraw(self, view: ExecutorView) -> None:
        """Drop the records of an incarnation that aren't proved."""
        for job in list(self.suspects.values()):
            for key, records in list(job.progress.crashes.items()):
                kept = [
                    record
                    for record in records
                    if record.is_proved or not is_of(record, view)
                ]
                self._replace(job, key, kept)

    def _replace(self, job: Job, key: str, records: list[CrashRecord]) -> None:
        """Replace a task's records, if any was dropped."""
        if len(records) == len(job.progress.crashes.get(key, [])):
            return
        if records:
            job.progress.crashes[key] = records
        else:
            job.progress.crashes.pop(key, None)
        _mark_changed(job)

    def _prove(
        self, executor_id: str, born_before_ms: float = math.inf
    ) -> None:
        """Record that the ends of an executor's incarnations are proved."""
        for job in self.suspects.values():
            for records in job.progress.crashes.values():
                for record in records:
                    if record.executor != executor_id or record.is_proved:
                        continue
                    if record.born_ms < born_before_ms:
                        record.is_proved = True
                        _mark_changed(job)

    def _weaken(self, executor_ids: list[str]) -> None:
        """Excuse tasks whose only loss is one of several at that time."""
        for job in self.suspects.values():
            for records in job.progress.crashes.values():
                record = records[0]
                if len(records) > 1 or record.is_shared:
                    continue
                silence = self._silences.get(record.executor)
                if silence is None or record.executor not in executor_ids:
                    continue
                if record.born_ms == silence.born_ms:
                    record.is_shared = True
                    _mark_changed(job)

    def _end_trials(self, executor_id: str, seen: set[TaskName]) -> None:
        """Count the loss of an executor that an earlier owner reserved.

        The suspects may have been started there.  As no report has shown
        that, the loss convicts nobody by itself.
        """
        for born_ms, job in self._trials.pop(executor_id, []):
            if job.is_final or any(name.job == job.job_id for name in seen):
                continue
            for key in list(job.progress.crashes):
                age_ms = int(UNKNOWN_AGE_S * 1000)
                record = CrashRecord(
                    executor_id, born_ms, age_ms, is_certain=False
                )
                self._add(job, key, record)


def _mark_changed(job: Job) -> None:
    """Let the evidence be stored before the next start depends on it."""
    job.is_dirty = True
    job.has_unsaved_crashes = True
