"""Handles callers' submissions, cancels and queries about jobs.

Any daemon can handle any of them.  A submission is acknowledged only once
its row is stored on condition that it did not exist.  So all submissions
with the same id are one job, on whichever daemons they arrive.  While the
outcome of the write is unknown, the caller gets an "undecided" reply,
neither an acceptance nor a refusal.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Success

from lycheelug.errors import PLATFORM_UNREACHABLE
from lycheelug.jobservice.final_states import FinalStates
from lycheelug.jobservice.interfaces import Rejection, SubmissionAnswer
from lycheelug.jobservice.job_finder import JobFinder
from lycheelug.jobservice.outcomes import Outcomes
from lycheelug.jobservice.queue_locations import QueueLocations
from lycheelug.jobservice.queue_policies import policy_record
from lycheelug.jobservice.queue_rows import gate_versions
from lycheelug.jobservice.replies import Reply, ReplyKind
from lycheelug.jobservice.submission_queue import (
    stored_tenant,
)
from lycheelug.jobservice.tables import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    PROGRESS_TABLE,
    CancelRecord,
    decode_progress,
    jobs_table,
)
from lycheelug.logs import log_fault
from lycheelug.store.rows import RowConflict, RowName
from lycheelug.tenants import is_foreign
from lycheelug.workloads import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.errors import Fault
    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.interfaces import (
        Configuration,
        Route,
        SubmissionRouter,
    )
    from lycheelug.jobservice.queue_locations import QueueLocation
    from lycheelug.jobservice.replies import RequestEffects
    from lycheelug.metrics import Metrics
    from lycheelug.store.rows import RowStore
    from lycheelug.workloads import JobRecord

__all__ = ["Reply", "ReplyKind", "Submissions"]

# Attempts of a write while its outcome is unknown.
WRITE_ATTEMPTS: Final = 3
# The store is slow if a small write takes longer than this.
SLOW_STORE_S: Final = 0.2
# How often a submission follows its queue to another pool.
MOVES_MAX: Final = 3
# Questions to a pool's owner: attempts, and the pause between two.  A pool has
# a new owner within some tenths of a second after the last one stopped.
COUNT_ATTEMPTS: Final = 3
COUNT_RETRY_S: Final = 0.3


class Submissions:
    """Handles the requests of callers."""

    __slots__ = (
        "_clock",
        "_final_states",
        "_finder",
        "_is_store_unreachable",
        "_outcomes",
        "_router",
        "_served_pools",
        "_store",
        "_store_delay_s",
        "_version",
        "locations",
    )

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        metrics: Metrics,
        router: SubmissionRouter,
        is_store_unreachable: Callable[[], bool] | None = None,
        store_delay_s: Callable[[], float] = lambda: 0.0,
        daemon: str = "",
    ) -> None:
        # Returns how long a small write to the store takes.
        self._store_delay_s = store_delay_s
        # Whether calls to the store have failed for a while.  Requests
        # are then refused at once, without a call to the store.
        self._is_store_unreachable = is_store_unreachable or _assume_reachable
        # Passes submissions to the owners of pools.
        self._router = router
        self._store = store
        self._clock = clock
        self._outcomes = Outcomes(metrics)
        self._final_states = FinalStates()
        # In which pools the jobs of each queue are stored.
        self.locations = QueueLocations(store, daemon)
        self._finder = JobFinder(store, self.locations)
        # The pools of the configuration in force that have an owner.
        self._served_pools: set[str] = set()
        # The version of the configuration in force.
        self._version = 0

    def apply_configuration(self, configuration: Configuration) -> None:
        """Record the pools, and look the queues up soon."""
        self._version = configuration.version
        self._finder.apply_configuration(configuration)
        self._served_pools = set(configuration.served_pools)
        self.locations.apply_configuration(configuration)

    async def submit(
        self,
        route: Route,
        job_id: str,
        record: JobRecord,
        effects: RequestEffects | None = None,
    ) -> Reply:
        """Store a submission; a duplicate refers to the same job.

        The pool's owner stores it if it can be reached: the owner may
        have access to the store while this daemon has none.
        """
        policy = policy_record(route, self._version)
        record = msgspec.structs.replace(
            record, policy=policy, address=route.address
        )
        is_located = self.locations.has(route)
        if not is_located and self._is_store_unreachable():
            return self._outcomes.refuse_unreachable("submission", job_id)
        for _ in range(MOVES_MAX):
            found = await self.locations.find(route)
            if isinstance(found, Failure):
                return self._outcomes.refuse(
                    "submission", job_id, found.failure()
                )
            location = found.unwrap()
            if location is None:
                break
            reply = await self._find_former(location, job_id, record)
            if reply is None:
                reply = await self._submit_to(
                    location, route, job_id, record, effects
                )
            if reply is not None:
                return reply
            self.locations.forget(route)
        return self._outcomes.refuse_moved(route, job_id)

    async def _find_former(
        self, location: QueueLocation, job_id: str, record: JobRecord
    ) -> Reply | None:
        """Return the reply to a submission that a former pool may have."""
        if location.former_pools and self._is_store_unreachable():
            return self._outcomes.refuse_unreachable("submission", job_id)
        for pool in location.former_pools:
            found = await self._finder.read_job(pool, job_id)
            if isinstance(found, Failure):
                return self._outcomes.refuse(
                    "submission", job_id, found.failure()
                )
            row = found.unwrap()
            if row is None:
                continue
            if is_foreign(stored_tenant(row), record.tenant):
                return self._outcomes.refuse_foreign(job_id)
            return self._outcomes.accept_repeated(job_id, pool)
        return None

    async def _submit_to(
        self,
        location: QueueLocation,
        route: Route,
        job_id: str,
        record: JobRecord,
        effects: RequestEffects | None,
    ) -> Reply | None:
        """Store a submission in its queue's pool.

        None if it isn't stored, as the queue is being moved.
        """
        if effects is not None:
            effects.may_exist = True
        answer = await self._router.submit(
            route.pool, job_id, record, location.gates
        )
        if answer is SubmissionAnswer.MOVED:
            return None
        if isinstance(answer, Rejection):
            return self._outcomes.reject(route, job_id, answer)
        if answer in (SubmissionAnswer.STORED, SubmissionAnswer.KNOWN):
            return self._outcomes.accept(
                route, job_id, record, answer is SubmissionAnswer.STORED
            )
        if answer is SubmissionAnswer.FOREIGN:
            return self._outcomes.refuse_foreign(job_id)
        may_be_stored = answer is SubmissionAnswer.UNDECIDED
        if self._is_store_unreachable():
            if may_be_stored:
                return self._outcomes.reply_undecided(
                    job_id, "the store is unreachable"
                )
            return self._outcomes.refuse_unreachable("submission", job_id)
        if self._store_delay_s() > SLOW_STORE_S:
            return self._outcomes.reply_slow(job_id, may_be_stored)
        return await self._submit_directly(
            location, route, job_id, record, may_be_stored
        )

    async def _submit_directly(
        self,
        location: QueueLocation,
        route: Route,
        job_id: str,
        record: JobRecord,
        may_be_stored: bool,
    ) -> Reply | None:
        """Store a submission without the pool's owner.

        None if it isn't stored, as the queue is being moved.
        """
        name = RowName(jobs_table(route.pool), JOB_PREFIX + job_id)
        gates = gate_versions(route.pool, record, location.gates)
        value = msgspec.json.encode(record)
        for _ in range(WRITE_ATTEMPTS):
            result = await self._store.commit(
                route.pool,
                {name: 0, **gates},
                {name: value},
            )
            match result:
                case Success(RowConflict(rows=rows)):
                    row = rows.get(name)
                    if row is None:
                        # An earlier attempt can't take effect any more.
                        return None
                    if is_foreign(stored_tenant(row), record.tenant):
                        return self._outcomes.refuse_foreign(job_id)
                    return self._outcomes.accept(
                        route, job_id, record, is_new=False
                    )
                case Success(_):
                    return self._outcomes.accept(
                        route, job_id, record, is_new=True
                    )
                case Failure(fault):
                    pass
            if fault.code is PLATFORM_UNREACHABLE:
                if may_be_stored:
                    continue
                return self._outcomes.refuse("submission", job_id, fault)
            may_be_stored = True
            if self._is_store_unreachable():
                break
        return self._outcomes.reply_undecided(job_id, str(fault))

    async def cancel(
        self,
        route: Route,
        job_id: str,
        tenant: str = "",
        effects: RequestEffects | None = None,
    ) -> Reply:
        """Store a cancel by a tenant, which the pool's owner then applies."""
        if self._is_store_unreachable():
            return self._outcomes.refuse_unreachable("cancel", job_id)
        fault: Fault | None = None
        for pool in self._finder.pools_of(route):
            found = await self._finder.read_job(pool, job_id)
            if isinstance(found, Failure):
                return self._outcomes.refuse("cancel", job_id, found.failure())
            row = found.unwrap()
            if row is None:
                continue
            if is_foreign(stored_tenant(row), tenant):
                return self._outcomes.hide_foreign(job_id)
            name = RowName(jobs_table(pool), CANCEL_PREFIX + job_id)
            value = msgspec.json.encode(CancelRecord(self._clock.unix_ms()))
            if effects is not None:
                effects.may_exist = True
            for _ in range(WRITE_ATTEMPTS):
                result = await self._store.commit(
                    pool, {name: 0}, {name: value}
                )
                if isinstance(result, Success):
                    return self._outcomes.record_cancel(job_id, pool)
                fault = result.failure()
            assert fault is not None
            log_fault("cancel-undecided", fault, job=job_id)
            return Reply(ReplyKind.UNDECIDED)
        reply = await self._look_elsewhere("cancel", route, job_id)
        if reply is not None:
            return reply
        return await self.cancel(route, job_id, tenant, effects)

    async def state(
        self, route: Route, job_id: str, tenant: str = ""
    ) -> Reply:
        """Return the stored state of a tenant's job."""
        known = self._final_states.find(job_id)
        if known is not None:
            if is_foreign(known.tenant, tenant):
                return self._outcomes.hide_foreign(job_id)
            return Reply(ReplyKind.OK, state=known.state)
        if self._is_store_unreachable():
            return self._outcomes.refuse_unreachable("question", job_id)
        pools = self._finder.pools_of(route)
        for pool in pools:
            read = await self._finder.read_one(PROGRESS_TABLE, pool, job_id)
            if isinstance(read, Failure):
                return self._outcomes.refuse(
                    "question", job_id, read.failure()
                )
            rows = read.unwrap().rows
            progress = decode_progress(rows[0].value or b"") if rows else None
            if progress is None:
                continue
            self._final_states.record(job_id, progress)
            if is_foreign(progress.tenant, tenant):
                return self._outcomes.hide_foreign(job_id)
            return Reply(
                ReplyKind.OK, state=progress.state, reason=progress.reason
            )
        for pool in pools:
            found = await self._finder.read_job(pool, job_id)
            if isinstance(found, Failure):
                return self._outcomes.refuse(
                    "question", job_id, found.failure()
                )
            row = found.unwrap()
            if row is None:
                continue
            if is_foreign(stored_tenant(row), tenant):
                return self._outcomes.hide_foreign(job_id)
            return Reply(ReplyKind.OK, state=JobState.QUEUED)
        reply = await self._look_elsewhere("question", route, job_id)
        if reply is not None:
            return reply
        return await self.state(route, job_id, tenant)

    async def _look_elsewhere(
        self, operation: str, route: Route, job_id: str
    ) -> Reply | None:
        """Look for a job that isn't in the known pools of its queue.

        Returns the reply, or None to repeat the operation with more pools.
        """
        more = await self._finder.look_elsewhere(route, job_id)
        if isinstance(more, Failure):
            return self._outcomes.refuse(operation, job_id, more.failure())
        return None if more.unwrap() else Reply(ReplyKind.UNKNOWN_JOB)

    async def pending(self, route: Route) -> Reply:
        """Return how many accepted jobs of a queue have not started.

        Only the pool's owner knows: the summary it has stored may be too old.
        """
        read = await self.locations.refresh_once(route)
        is_known = bool(self.locations.pools_of(route))
        if isinstance(read, Failure) and not is_known:
            return self._outcomes.refuse("count", route.name, read.failure())
        missing = {route.pool}
        missing.update(self._finder.pools_of(route))
        missing.intersection_update({route.pool, *self._served_pools})
        total = 0
        for attempt in range(COUNT_ATTEMPTS):
            if attempt:
                await asyncio.sleep(COUNT_RETRY_S)
            for pool in sorted(missing):
                waiting = await self._router.count_waiting(
                    pool, route.name, route.address
                )
                if waiting is not None:
                    total += waiting
                    missing.remove(pool)
            if not missing:
                return Reply(ReplyKind.OK, pending=total)
        return self._outcomes.refuse_count(route)


def _assume_reachable() -> bool:
    """Assume that the store is reachable."""
    return False
