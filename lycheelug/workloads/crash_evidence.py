"""The records of lost executors under the jobs of one pool; no I/O.

Each record is part of its job's progress, so that a later owner finds it.
What the records prove is decided in `crash_records`, and what follows from
that in `crashes`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.loss_index import LossIndex
from lycheelug.workloads.losses import (
    HostEvidence,
    LossCause,
    describe_cleared,
    extend_cleared,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from lycheelug.workloads.crash_records import CrashRecord
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.loss_index import Incarnation
    from lycheelug.workloads.losses import Event
    from lycheelug.workloads.silences import Silences

__all__ = ["CrashEvidence"]

# After this time without a proof, and without an answer, it can't be told any
# more why an executor fell silent, and the records of that are dropped.
UNPROVED_MAX_S: Final = 30.0
# The pause between two checks of all records for that.
EXPIRY_INTERVAL_S: Final = 0.2
# How often that time is recorded, for the next owner.
UNPROVED_STEP_S: Final = 5.0


class CrashEvidence:
    """The jobs of one pool that have crash records, and the records."""

    __slots__ = (
        "_expired_at",
        "_index",
        "_unproved_since",
        "changed",
        "events",
        "jobs",
    )

    def __init__(self) -> None:
        # The events to log, oldest first.
        self.events: list[Event] = []
        # The jobs with crash records, and those whose records were added,
        # proved or dropped since they were reviewed.
        self.jobs: dict[str, Job] = {}
        self.changed: dict[str, Job] = {}
        self._index = LossIndex()
        # Local times since which it is known of incarnations that they are
        # silent and not proved to have ended.  What earlier owners have
        # recorded of that counts as before this one.
        self._unproved_since: dict[tuple[str, int], float] = {}
        # Local time of the last check for expired records.
        self._expired_at = -math.inf

    @property
    def unproved(self) -> Iterator[tuple[Job, CrashRecord]]:
        """The records of losses that aren't proved, with their jobs."""
        for job in self.jobs.values():
            for records in job.progress.crashes.values():
                for record in records:
                    if not record.is_proved:
                        yield job, record

    def add_job(self, job: Job) -> None:
        """Take over the records that an earlier owner stored."""
        self.jobs[job.job_id] = job
        self.changed[job.job_id] = job
        job.suspicion.forget()
        for key, records in job.progress.crashes.items():
            for record in records:
                self._index.add(job, key, record)

    def add(self, job: Job, key: str, record: CrashRecord) -> None:
        """Add a record, or complete the one of the same incarnation."""
        records = job.progress.crashes.setdefault(key, [])
        self.jobs[job.job_id] = job
        self._mark_changed(job)
        for known in records:
            if known.incarnation == record.incarnation:
                known.host = known.host or record.host
                known.proof = known.proof or record.proof
                known.is_proved = known.is_proved or record.is_proved
                known.is_certain = known.is_certain or record.is_certain
                self._index.add(job, key, known)
                return
        records.append(record)
        self._index.add(job, key, record)

    def replace(self, job: Job, key: str, records: list[CrashRecord]) -> None:
        """Replace a task's records, if any was dropped."""
        if len(records) == len(job.progress.crashes.get(key, [])):
            return
        if records:
            job.progress.crashes[key] = records
        else:
            job.progress.crashes.pop(key, None)
        self._mark_changed(job)

    def clear(self, job: Job, key: str) -> None:
        """Drop a task's records, as it is not the cause of the losses."""
        last = self.events[-1] if self.events else None
        if last is None or not extend_cleared(last, job, key):
            self.events.append(describe_cleared(job, key))
        self.replace(job, key, [])

    # --- Proofs.

    def prove(
        self, executor_id: str, proof: str, born_before_ms: float = math.inf
    ) -> None:
        """Record what proves that an executor's incarnations have ended."""
        proved = 0
        born_ms = 0
        for incarnation in self._index.of_executor(executor_id):
            if incarnation[1] >= born_before_ms:
                continue
            for job, record in self._unproved_of(incarnation):
                record.is_proved = True
                record.proof = proof
                self._mark_changed(job)
                proved += 1
                born_ms = record.born_ms
        if proved:
            self.events.append(
                (
                    "loss-proved",
                    {
                        "executor": executor_id,
                        "born_ms": born_ms,
                        "proof": proof,
                        "tasks": proved,
                    },
                )
            )

    def prove_predecessors(self, view: ExecutorView) -> None:
        """Record that an executor reports: its host has no earlier one."""
        found: set[str] = set()
        for incarnation in self._index.of_host(view.info.host):
            executor_id, born_ms = incarnation
            if born_ms < view.born_ms and self._unproved_of(incarnation):
                found.add(executor_id)
        for executor_id in sorted(found - {view.executor_id}):
            self.prove(executor_id, LossCause.REPLACED.value, view.born_ms)

    def withdraw(
        self,
        incarnation: tuple[str, int],
        reason: str,
        keeps_proved: bool = False,
    ) -> None:
        """Drop the records of an incarnation that was not lost, or may not be.

        Unless `keeps_proved`, proofs are dropped too: an incarnation that
        answers has not ended.
        """
        dropped = 0
        proofs: set[str] = set()
        for job, key, dropped_record in self._index.entries(incarnation):
            if keeps_proved and dropped_record.is_proved:
                continue
            if dropped_record.is_proved:
                proofs.add(dropped_record.proof)
            kept: list[CrashRecord] = []
            for record in job.progress.crashes[key]:
                if record is not dropped_record:
                    kept.append(record)
            dropped += 1
            self.replace(job, key, kept)
        if not dropped:
            return
        self.events.append(
            (
                "loss-withdrawn",
                {
                    "executor": incarnation[0],
                    "born_ms": incarnation[1],
                    "reason": reason,
                    "tasks": dropped,
                    "proofs": sorted(proofs),
                },
            )
        )

    def note_silence(self, incarnation: tuple[str, int], since: float) -> None:
        """Note since when an incarnation is silent, for the first time."""
        self._unproved_since.setdefault(incarnation, since)

    def expire(self, now: float) -> None:
        """Note since when losses are unproved; drop those of long ago."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        silent: set[Incarnation] = set()
        for incarnation in self._index:
            if self._unproved_of(incarnation):
                silent.add(incarnation)
        for incarnation in list(self._unproved_since):
            if incarnation not in silent:
                del self._unproved_since[incarnation]
        for incarnation in silent:
            records = self._unproved_of(incarnation)
            recorded_ms = max(record.unproved_ms for _, record in records)
            self.note_silence(incarnation, now - recorded_ms / 1000)
            unproved_s = now - self._unproved_since[incarnation]
            if unproved_s >= UNPROVED_MAX_S:
                self.withdraw(incarnation, "undecided", keeps_proved=True)
                continue
            if unproved_s - recorded_ms / 1000 < UNPROVED_STEP_S:
                continue
            for job, record in records:
                record.unproved_ms = int(unproved_s * 1000)
                job.is_dirty = True

    def unproved_since(
        self, records: list[CrashRecord], now: float
    ) -> float | None:
        """Return since when the newest unproved loss is known, if any is."""
        found: float | None = None
        for record in records:
            if record.is_proved:
                continue
            since = self._unproved_since.get(record.incarnation, now)
            found = since if found is None else max(found, since)
        return found

    def apply_hosts(self, hosts: Mapping[str, HostEvidence]) -> None:
        """Apply what the list of hosts shows of silent executors.

        The list was requested after they fell silent.
        """
        found: dict[Incarnation, HostEvidence] = {}
        for executor_id, evidence in hosts.items():
            for incarnation in self._index.of_executor(executor_id):
                if self._unproved_of(incarnation):
                    found[incarnation] = evidence
        for incarnation, evidence in found.items():
            executor_id, born_ms = incarnation
            if evidence is HostEvidence.ENDED_BY_ORDER:
                self.withdraw(incarnation, evidence.value)
            else:
                self.prove(executor_id, evidence.value, born_ms + 1)

    # --- Other explanations of a loss.

    def discount_others(
        self, job: Job, incarnation: Incarnation, is_explained: bool = False
    ) -> None:
        """Discount a loss for the tasks of all jobs but one.

        All records of a task with several losses are kept.
        """
        for other, key, record in self._index.entries(incarnation):
            if other is job or len(other.progress.crashes[key]) > 1:
                continue
            if is_explained:
                self.replace(other, key, [])
            elif not record.is_discounted:
                record.is_discounted = True
                other.mark_crashes_changed()

    def discount_group(
        self, silences: Silences, executor_ids: Iterable[str]
    ) -> None:
        """Discount losses of executors at nearly the same time."""
        for executor_id in executor_ids:
            silence = silences.get(executor_id)
            if silence is None or silence.is_discounted:
                continue
            silence.is_discounted = True
            incarnation = (executor_id, silence.born_ms)
            for job, key, record in self._index.entries(incarnation):
                has_more = len(job.progress.crashes[key]) > 1
                if not has_more and not record.is_discounted:
                    record.is_discounted = True
                    job.mark_crashes_changed()

    # --- Implementation.

    def _mark_changed(self, job: Job) -> None:
        """Let a job's records be stored, and reviewed with the next plan."""
        job.mark_crashes_changed()
        self.changed[job.job_id] = job

    def _unproved_of(
        self, incarnation: Incarnation
    ) -> list[tuple[Job, CrashRecord]]:
        """Return the records of an incarnation that nothing has proved."""
        found: list[tuple[Job, CrashRecord]] = []
        for job, _, record in self._index.entries(incarnation):
            if not record.is_proved:
                found.append((job, record))
        return found
