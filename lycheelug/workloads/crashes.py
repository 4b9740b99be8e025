"""Finds the tasks that crash the executors they run on; no I/O.

For each executor incarnation that is lost, the jobs' progress records get a
record for each task that ran there.  So the evidence survives a change of
owner, and no loss is counted twice.

* After a first loss all tasks that ran there are suspects.  They run on
  executors reserved for their job (see `isolation`), those that were started
  last first.
* If a reserved executor is lost too, its job is the culprit and fails.  Both
  losses are explained then, and their other tasks are no suspects any more.
* A task is cleared when it is done, or when a run has gone on for longer
  than the one that was lost.
* If several executors are lost at nearly the same time, as with their rack,
  only tasks with an earlier loss become suspects.

Whether the records of a task are enough is decided in `crash_records`.  A
silent executor may only be cut off.  Its runs are recorded at once, because
the proof may come seconds later and to a later owner; the records are dropped
if the incarnation answers again.  The ends of executors that are draining, or
whose hosts are moved or maintained, are not recorded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.crash_evidence import CrashEvidence
from lycheelug.workloads.crash_records import (
    CULPRIT_LOSSES,
    DOUBTFUL_LOSSES_MAX,
    SUSPECT_RUN_MAX_S,
    CrashRecord,
    is_culprit,
)
from lycheelug.workloads.losses import (
    PROOFS,
    LossCause,
    describe_loss,
    describe_verdict,
    find_open_task,
)
from lycheelug.workloads.model import FailureCause
from lycheelug.workloads.progress import step_number
from lycheelug.workloads.silences import SHARED_MIN, Silence, Silences

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.losses import Event, HostEvidence
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.tasks import Task

__all__ = ["CrashLedger"]

# A run clears its task once it has gone on for this many times as long as the
# one that was lost, and for this much longer, or for the maximum.  The run of
# a long-running task must go on for the maximum.
CLEARING_FACTOR: Final = 1.5
CLEARING_EXTRA_S: Final = 0.2
CLEARING_MAX_S: Final = 60.0
# How long a task waits for the proof of the last loss under it.
PROOF_WAIT_S: Final = 4.0


class CrashLedger:
    """The losses of executors of one pool, and what follows from them."""

    __slots__ = ("_evidence", "_reservations", "_silences")

    def __init__(self) -> None:
        self._evidence = CrashEvidence()
        self._silences = Silences()
        # Executors that an earlier owner had reserved, with their start times
        # and jobs, until it is known what ran there.
        self._reservations: dict[str, list[tuple[int, Job]]] = {}

    @property
    def events(self) -> list[Event]:
        """The events to log, oldest first."""
        return self._evidence.events

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs with crash records."""
        return self._evidence.jobs

    def add_job(self, job: Job) -> None:
        """Take over what an earlier owner stored."""
        if job.is_final or not job.progress.crashes:
            return
        self._evidence.add_job(job)
        for records in job.progress.crashes.values():
            for record in records:
                # An earlier release stored ended leases as proofs.
                record.is_proved = bool(record.proof)
        for executor_id, born_ms in job.progress.reserved.items():
            known = self._reservations.setdefault(executor_id, [])
            known.append((born_ms, job))

    # --- Losses.

    def record_silence(
        self,
        schedule: PoolSchedule,
        view: ExecutorView,
        alive_until: float,
        now: float,
    ) -> None:
        """Record that an executor stopped answering.

        It was surely alive until `alive_until`, in local time.  If it was
        reserved for a job, that job presumably crashed it, and the tasks of
        others that were lost with the job before are no suspects.
        """
        if not view.runs or view.info.draining:
            return
        isolated = schedule.isolation.isolated_run(view)
        silence = Silence(view.born_ms, alive_until, now, isolated is not None)
        self._silences.add(view.executor_id, silence)
        together = self._silences.coinciding(view.executor_id)
        is_shared = len(together) >= SHARED_MIN
        runs = list(view.runs.values())
        self._evidence.note_silence(view.incarnation, now)
        self._add_runs(schedule, view, runs, now, is_shared, proof="")
        if is_shared:
            self._evidence.discount_group(self._silences, together)
        job = schedule.jobs.get(isolated.task_name.job) if isolated else None
        if job is None:
            return
        lost: set[tuple[str, int]] = set()
        for records in job.progress.crashes.values():
            lost.update(record.incarnation for record in records)
        for incarnation in sorted(lost):
            self._evidence.discount_others(job, incarnation)

    def record_answer(self, view: ExecutorView, is_first: bool) -> None:
        """Record that an executor reports, to this owner for the first time.

        If it was silent, its incarnation was only cut off.
        """
        self._silences.remove(view.executor_id)
        if view.last_report_at is not None and not is_first:
            return
        self._evidence.withdraw(view.incarnation, "answered")
        self._evidence.prove(
            view.executor_id,
            LossCause.RESTARTED.value,
            born_before_ms=view.born_ms,
        )
        if is_first:
            self._evidence.prove_predecessors(view)
            self._settle_reservations(view)

    def record_loss(
        self,
        schedule: PoolSchedule,
        view: ExecutorView,
        runs: list[Run],
        cause: LossCause,
        now: float,
    ) -> None:
        """Record that runs on an executor were given up."""
        silence = self._silences.get(view.executor_id)
        silent_at = silence.until if silence is not None else now
        together = self._silences.coinciding(view.executor_id)
        is_shared = len(together) >= SHARED_MIN
        if runs:
            isolated = schedule.isolation.isolated_run(view)
            silent_s = now - silent_at
            self.events.append(
                describe_loss(view, runs, cause, is_shared, silent_s, isolated)
            )
        if cause is LossCause.HOST_ORDER or view.info.draining:
            self._reservations.pop(view.executor_id, None)
            self._silences.remove(view.executor_id)
            self._evidence.withdraw(view.incarnation, "drained")
            return
        is_proved = cause in PROOFS
        proof = cause.value if is_proved else ""
        self._add_runs(schedule, view, runs, silent_at, is_shared, proof)
        if is_proved:
            self._evidence.prove(
                view.executor_id, proof, born_before_ms=view.born_ms + 1
            )
        seen = {run.task_name.job for run in runs}
        if is_proved or not view.has_accepted_term:
            self._add_unseen_runs(
                view.executor_id, proof, seen, view.info.host
            )

    def record_absent_executors(self, executors: Container[str]) -> None:
        """Record the loss of reserved executors that no list names any more.

        All others have reported to this owner, or their leases have ended.
        Their entries are removed after a while of silence, so that does not
        prove an end.
        """
        for executor_id in list(self._reservations):
            if executor_id not in executors:
                self._add_unseen_runs(executor_id, "", (), "")

    def unproved_executors(self) -> dict[str, str]:
        """Return the silent executors, with their hosts if known."""
        found: dict[str, str] = {}
        for _, record in self._evidence.unproved:
            if record.host or record.executor not in found:
                found[record.executor] = record.host
        return found

    def record_hosts(self, hosts: Mapping[str, HostEvidence]) -> None:
        """Record what the list of hosts shows of silent executors."""
        self._evidence.apply_hosts(hosts)

    def record_not_started(self, task: Task, view: ExecutorView) -> None:
        """Record that a start on an executor was surely not carried out."""
        kept: list[CrashRecord] = []
        for record in task.crash_records:
            if record.is_certain or record.incarnation != view.incarnation:
                kept.append(record)
        self._evidence.replace(task.job, task.key, kept)

    def record_running(self, run: Run, task: Task, now: float) -> None:
        """Clear a task whose run goes on for longer than the lost one."""
        records = task.crash_records
        if not records or task.run != run.run:
            return
        if len(records) >= CULPRIT_LOSSES and not task.step.lasts:
            return
        lost_s = max(record.age_ms for record in records) / 1000
        needed_s = lost_s * CLEARING_FACTOR + CLEARING_EXTRA_S
        if task.step.lasts:
            # There is time, and its crashes may be far apart.
            needed_s = CLEARING_MAX_S
        if now - run.ordered_at < min(CLEARING_MAX_S, needed_s):
            return
        self._evidence.clear(task.job, task.key)

    # --- Decisions.

    def review(self, schedule: PoolSchedule, now: float, unix_ms: int) -> None:
        """Fail the jobs whose tasks are the cause of losses."""
        self._evidence.expire(now)
        for job in list(self.jobs.values()):
            if job.is_final or not job.progress.crashes:
                del self.jobs[job.job_id]
        changed = self._evidence.changed
        while changed:
            _, job = changed.popitem()
            if job.is_final:
                continue
            for key, records in list(job.progress.crashes.items()):
                step = job.record.steps[step_number(key)]
                if is_culprit(records, step.lasts):
                    self._fail_job(schedule, job, key, unix_ms)
                    break

    def may_start(self, task: Task, now: float) -> bool:
        """Return whether a task may be started, as far as losses go.

        They must be stored first.
        """
        if not task.job.progress.crashes:
            return True
        if task.job.has_unsaved_crashes:
            return False
        return not self.awaits_proof(task, now)

    def awaits_proof(self, task: Task, now: float) -> bool:
        """Return whether a task must wait for the proof of a loss.

        If two executors fell silent under it, it waits for a limited time, as
        they may only be cut off; if very many did, until that is known of one
        of them.  Late losses of a long-running task don't count.
        """
        if task.job.suspicion.most_losses < CULPRIT_LOSSES:
            return False
        records = task.crash_records
        if task.step.lasts:
            records = [record for record in records if record.is_likely]
        if len(records) < CULPRIT_LOSSES:
            return False
        since = self._evidence.unproved_since(records, now)
        if since is None:
            return False
        if len(records) >= DOUBTFUL_LOSSES_MAX:
            return True
        return now - since < PROOF_WAIT_S

    def ordered_suspects(self) -> list[Job]:
        """Return the suspected jobs, the most likely culprits first.

        A loss is most likely due to what was started last.
        """
        found: list[tuple[int, str, Job]] = []
        for job in self.jobs.values():
            youngest_ms = job.suspicion.youngest_ms
            if youngest_ms is not None and not job.is_final:
                found.append((youngest_ms, job.job_id, job))
        return [job for _, _, job in sorted(found, key=lambda each: each[:2])]

    # --- Implementation.

    def _fail_job(
        self, schedule: PoolSchedule, job: Job, key: str, unix_ms: int
    ) -> None:
        """Fail a job; its losses make no other task a suspect any more."""
        records = job.progress.crashes[key]
        executors = ", ".join(record.executor for record in records)
        reason = f"task {key} ran on executors that crashed: {executors}"
        self.events.append(describe_verdict(job, key))
        job.set_aside(reason, unix_ms, FailureCause.CRASHES)
        schedule.dequeue_job(job)
        for record in records:
            self._evidence.discount_others(
                job, record.incarnation, is_explained=True
            )

    def _add_runs(
        self,
        schedule: PoolSchedule,
        view: ExecutorView,
        runs: list[Run],
        silent_at: float,
        is_shared: bool,
        proof: str,
    ) -> None:
        """Add a record for each unfinished task of some runs.

        `proof` is what proves that the executor has ended; empty for nothing.
        Without one, the next incarnation may have answered a start.
        """
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
            was_started = bool(proof) and run.confirmed_at is not None
            age_s = silent_at - run.ordered_at
            if run.is_adopted:
                age_s = max(age_s, SUSPECT_RUN_MAX_S)
            self._evidence.add(
                task.job,
                task.key,
                CrashRecord(
                    *view.incarnation,
                    max(0, int(age_s * 1000)),
                    is_discounted=is_beside or is_shared,
                    is_proved=bool(proof),
                    is_isolated=is_isolated,
                    is_certain=run.is_located or was_started,
                    proof=proof,
                    host=view.info.host,
                ),
            )

    def _add_unseen_runs(
        self, executor_id: str, proof: str, seen: Container[str], host: str
    ) -> None:
        """Add records for an executor that an earlier owner had reserved.

        Its jobs' suspects may have been started there, although no report
        has shown that.
        """
        for born_ms, job in self._reservations.pop(executor_id, []):
            if job.is_final or job.job_id in seen:
                continue
            age_ms = int(SUSPECT_RUN_MAX_S * 1000)
            for key in list(job.progress.crashes):
                record = CrashRecord(
                    executor_id,
                    born_ms,
                    age_ms,
                    is_proved=bool(proof),
                    is_certain=False,
                    proof=proof,
                    host=host,
                )
                self._evidence.add(job, key, record)

    def _settle_reservations(self, view: ExecutorView) -> None:
        """Compare a first report with what an earlier owner reserved."""
        for born_ms, _ in self._reservations.get(view.executor_id, []):
            if born_ms and view.born_ms > born_ms:
                self._add_unseen_runs(
                    view.executor_id,
                    LossCause.RESTARTED.value,
                    (),
                    view.info.host,
                )
                return
        self._reservations.pop(view.executor_id, None)
