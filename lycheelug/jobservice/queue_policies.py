"""The scheduling policies of a pool's jobs, as far as they are known.

A policy comes from the configuration, by the route at the job's address or
else by the queue's name, or it comes from the job: the submission has the one
under which it was accepted, and the progress record a later one.  The newest
version is in force.  So a queue that is away from the configuration, or a
configuration that arrives late, changes nothing.

A job of an earlier release may have no policy.  While its queue isn't
configured either, the job doesn't fail for its attempts, and none of its
tasks that have failed is started.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change
from lycheelug.workloads import PolicyRecord, QueuePolicy, apply_policy

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.interfaces import Configuration, Route
    from lycheelug.workloads import (
        Job,
        JobRecord,
        PoolSchedule,
        ProgressRecord,
    )

__all__ = ["QueuePolicies", "policy_record"]

# How often a new configuration is looked for.
CHECK_INTERVAL_S: Final = 0.1
# How long no task is started under an unknown policy.
UNKNOWN_WAIT_S: Final = 10.0


def policy_record(route: Route, version: int) -> PolicyRecord:
    """Return a queue's policy as a version of the configuration has it."""
    return PolicyRecord(
        version,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.objective_s,
        route.needs_placement_hint,
        route.hint_timing,
    )


class QueuePolicies:
    """Keeps the policies of one pool's jobs up to date."""

    __slots__ = ("_applied", "_context", "_on_change", "_schedule")

    def __init__(
        self,
        context: OwnerContext,
        schedule: PoolSchedule,
        on_change: Callable[[], None],
    ) -> None:
        self._context = context
        self._schedule = schedule
        # Called after a change of jobs' policies.
        self._on_change = on_change
        # The configuration that was last applied to all jobs.
        self._applied: Configuration | None = None

    async def run(self) -> None:
        """Apply each new configuration until cancelled."""
        while True:
            self.refresh()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def find(
        self, record: JobRecord, progress: ProgressRecord | None
    ) -> QueuePolicy:
        """Return the policy of a job that is read from the store."""
        found = _newest(
            self._configured(record),
            progress.policy if progress is not None else None,
            record.policy,
        )
        pool = self._schedule.pool
        if found is not None:
            return QueuePolicy.of(record.queue, pool, found)
        held_until = self._context.clock.now() + UNKNOWN_WAIT_S
        return QueuePolicy(
            record.queue, pool, is_known=False, held_until=held_until
        )

    def log_unknown(self, job: Job) -> None:
        """Log that a job's policy is unknown, unless the job has ended."""
        if job.policy.is_known or job.is_final:
            return
        configuration = self._context.configuration()
        log_change(
            "policy-unknown",
            pool=self._schedule.pool,
            job=job.job_id,
            queue=job.record.queue,
            version=configuration.version if configuration else 0,
            starts_after_s=UNKNOWN_WAIT_S,
        )
        self._context.metrics.count("policies-unknown")

    def keep(self, job: Job) -> None:
        """Store a job's policy with it, if what is stored differs."""
        if job.is_final or not job.policy.is_known:
            return
        record = job.policy.record()
        stored = _newest(job.progress.policy, job.record.policy)
        if stored is not None and stored.is_same(record):
            return
        job.progress.policy = record
        job.is_dirty = True

    def refresh(self) -> None:
        """Let all jobs follow the configuration, if it has changed."""
        configuration = self._context.configuration()
        if configuration is None or configuration is self._applied:
            return
        self._applied = configuration
        changed: dict[str, int] = {}
        configured: dict[tuple[str, str], PolicyRecord | None] = {}
        for job in list(self._schedule.job_index.unfinished.values()):
            queue = job.record.queue
            key = (job.record.address, queue)
            if key not in configured:
                configured[key] = self._configured(job.record)
            record = configured[key]
            if record is None:
                continue
            known = job.policy
            if known.is_known:
                if known.version >= record.version:
                    continue
                if known.record().is_same(record):
                    known.version = record.version
                    continue
            apply_policy(
                self._schedule,
                job,
                QueuePolicy.of(queue, self._schedule.pool, record),
                self._context.clock.unix_ms(),
            )
            self.keep(job)
            changed[queue] = changed.get(queue, 0) + 1
        for queue, jobs in changed.items():
            log_change(
                "policy-applied",
                pool=self._schedule.pool,
                queue=queue,
                version=configuration.version,
                jobs=jobs,
            )
        if changed:
            self._on_change()

    def _configured(self, job: JobRecord) -> PolicyRecord | None:
        """Return the policy of a job's queue, if it is configured."""
        configuration = self._context.configuration()
        route = configuration.find_queue_of(job) if configuration else None
        if configuration is None or route is None or not route.has_policy:
            return None
        return policy_record(route, configuration.version)


def _newest(*records: PolicyRecord | None) -> PolicyRecord | None:
    """Return the record of the newest version; the first of equal ones."""
    newest: PolicyRecord | None = None
    for record in records:
        if record is None:
            continue
        if newest is None or record.version > newest.version:
            newest = record
    return newest
