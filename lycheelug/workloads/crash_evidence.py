"""The records of lost executors under the jobs of one pool; no I/O.

Each record is part of its job's progress, so that a later owner finds it.
What the records prove is decided in `crash_records`, and what follows from
that in `crashes`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.losses import HostEvidence, describe_outcome

if TYPE_CHECKING:
    from collections.abc import Container, Iterator, Mapping

    from lycheelug.workloads.crash_records import CrashRecord
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.losses import Event
    from lycheelug.workloads.silences import Silences

__all__ = ["CrashEvidence"]

# After this time without a proof, and without an answer, it can't be told any
# more why an executor fell silent, and the records of that are dropped.
UNPROVED_MAX_S: Final = 30.0
# The pause between two checks of all records for that.
EXPIRY_INTERVAL_S: Final = 0.2


class CrashEvidence:
    """The jobs of one pool that have crash records, and the records."""

    __slots__ = ("_expired_at", "_unproved_since", "events", "jobs")

    def __init__(self) -> None:
        # The events to log, oldest first.
        self.events: list[Event] = []
        # The jobs with crash records.
        self.jobs: dict[str, Job] = {}
        # Local times since which this owner knows of incarnations that are
        # silent and not proved to have ended.
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

    def add(self, job: Job, key: str, record: CrashRecord) -> None:
        """Add a record, or complete the one of the same incarnation."""
        records = job.progress.crashes.setdefault(key, [])
        self.jobs[job.job_id] = job
        job.mark_crashes_changed()
        for known in records:
            if known.incarnation == record.incarnation:
                known.host = known.host or record.host
                known.proof = known.proof or record.proof
                known.is_proved = known.is_proved or record.is_proved
                known.is_certain = known.is_certain or record.is_certain
                return
        records.append(record)

    def replace(self, job: Job, key: str, records: list[CrashRecord]) -> None:
        """Replace a task's records, if any was dropped."""
        if len(records) == len(job.progress.crashes.get(key, [])):
            return
        if records:
            job.progress.crashes[key] = records
        else:
            job.progress.crashes.pop(key, None)
        job.mark_crashes_changed()

    def clear(self, job: Job, key: str) -> None:
        """Drop a task's records, as it is not the cause of the losses."""
        self.events.append(describe_outcome("suspect-cleared", job, key))
        self.replace(job, key, [])

    # --- Proofs.

    def prove(
        self, executor_id: str, proof: str, born_before_ms: float = math.inf
    ) -> None:
        """Record what proves that an executor's incarnations have ended."""
        proved = 0
        born_ms = 0
        for job, record in self.unproved:
            is_ended = record.born_ms < born_before_ms
            if record.executor == executor_id and is_ended:
                record.is_proved = True
                record.proof = proof
                job.mark_crashes_changed()
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
        for job in list(self.jobs.values()):
            for key, records in list(job.progress.crashes.items()):
                kept: list[CrashRecord] = []
                for record in records:
                    is_kept = keeps_proved and record.is_proved
                    if record.incarnation != incarnation or is_kept:
                        kept.append(record)
                    elif record.is_proved:
                        proofs.add(record.proof)
                dropped += len(records) - len(kept)
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
        silent = {record.incarnation for _, record in self.unproved}
        for incarnation in list(self._unproved_since):
            if incarnation not in silent:
                del self._unproved_since[incarnation]
        for incarnation in silent:
            self.note_silence(incarnation, now)
            since = self._unproved_since[incarnation]
            if now - since >= UNPROVED_MAX_S:
                self.withdraw(incarnation, "undecided", keeps_proved=True)

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
        found: dict[tuple[str, int], HostEvidence] = {}
        for _, record in self.unproved:
            evidence = hosts.get(record.executor)
            if evidence is not None:
                found[record.incarnation] = evidence
        for incarnation, evidence in found.items():
            executor_id, born_ms = incarnation
            if evidence is HostEvidence.ENDED_BY_ORDER:
                self.withdraw(incarnation, evidence.value)
            else:
                self.prove(executor_id, evidence.value, born_ms + 1)

    # --- Other explanations of a loss.

    def discount_others(
        self, job: Job, record: CrashRecord, is_explained: bool = False
    ) -> None:
        """Discount a loss for the tasks of all jobs but one.

        All records of a task with several losses are kept.
        """
        for other in list(self.jobs.values()):
            if other is job:
                continue
            for key, (first, *more) in list(other.progress.crashes.items()):
                if more or first.incarnation != record.incarnation:
                    continue
                if is_explained:
                    self.replace(other, key, [])
                elif not first.is_discounted:
                    first.is_discounted = True
                    other.mark_crashes_changed()

    def discount_group(
        self, silences: Silences, executor_ids: Container[str]
    ) -> None:
        """Discount losses of executors at nearly the same time."""
        for job in self.jobs.values():
            for first, *more in job.progress.crashes.values():
                silence = silences.get(first.executor)
                if more or first.is_discounted or silence is None:
                    continue
                is_of_silence = first.born_ms == silence.born_ms
                if is_of_silence and first.executor in executor_ids:
                    first.is_discounted = True
                    job.mark_crashes_changed()
