"""Takes submissions, cancels and questions about jobs; any daemon can.

A submission is acknowledged only once its row is stored under the
condition that it did not exist, so the same id is one job however often
and wherever it comes.  Without a sure answer of the store the caller is
told neither that it was accepted nor that it was not.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Success

from lycheelug.errors import PLATFORM_UNREACHABLE
from lycheelug.fleetplan import (
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    decode_summary,
)
from lycheelug.jobservice.interfaces import IntakeAnswer
from lycheelug.jobservice.tables import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    PROGRESS_TABLE,
    CancelRecord,
    decode_progress,
    jobs_table,
)
from lycheelug.logs import log_change, log_fault
from lycheelug.store.rows import RowCommit, RowName
from lycheelug.workloads import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.interfaces import (
        Configuration,
        PoolIntake,
        Route,
    )
    from lycheelug.metrics import Metrics
    from lycheelug.store.rows import RowSet, RowStore
    from lycheelug.workloads import JobRecord

__all__ = ["Reply", "ReplyKind", "Submissions"]

# Tries of a write whose fate is not known, each with the store's timeout.
WRITE_ATTEMPTS: Final = 3
# Final states that are remembered, so that questions cost no read.
REMEMBERED_MAX: Final = 5_000
# A caller that was refused for want of the store may come back after this.
RETRY_AFTER_S: Final = 1


class ReplyKind(Enum):
    """What a caller is told."""

    OK = auto()
    # The job does not exist.
    UNKNOWN_JOB = auto()
    # Nothing was done, and nothing will be.
    REFUSED = auto()
    # It may have been done.
    UNDECIDED = auto()


class Reply:
    """An answer to a caller."""

    __slots__ = ("kind", "pending", "retry_after_s", "state")

    def __init__(
        self,
        kind: ReplyKind,
        state: str = "",
        pending: int = 0,
        retry_after_s: int = RETRY_AFTER_S,
    ) -> None:
        self.kind = kind
        self.state = state
        self.pending = pending
        self.retry_after_s = retry_after_s


class Submissions:
    """The callers' side of the job service."""

    __slots__ = (
        "_clock",
        "_final_states",
        "_intake",
        "_is_store_unreachable",
        "_metrics",
        "_pools_of",
        "_store",
    )

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        metrics: Metrics,
        intake: PoolIntake,
        is_store_unreachable: Callable[[], bool] | None = None,
    ) -> None:
        # Whether calls to the store have failed for a while: then callers
        # are refused at once, and nothing is sent for them.
        self._is_store_unreachable = is_store_unreachable or _assume_reachable
        # The way to the owners of pools.
        self._intake = intake
        self._store = store
        self._clock = clock
        self._metrics = metrics
        # Jobs whose state can't change any more.
        self._final_states: dict[str, str] = {}
        # The pools that each queue has had in configurations seen here.
        self._pools_of: dict[str, list[str]] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Remember which pools the queues have, newest first."""
        for route in configuration.routes:
            pools = self._pools_of.setdefault(route.name, [])
            if route.pool in pools:
                pools.remove(route.pool)
            pools.insert(0, route.pool)

    async def submit(
        self, route: Route, job_id: str, record: JobRecord
    ) -> Reply:
        """Store a submission; a repeated one is the same job.

        The pool's owner does it if it can be reached: it may have a way to
        the store where this daemon has none.
        """
        former_pools = self._pools_of.get(route.name, [])[1:]
        if former_pools and self._is_store_unreachable():
            return self._refuse_unreachable("submission", job_id)
        for pool in former_pools:
            found = await self._read_one(
                jobs_table(pool), pool, JOB_PREFIX + job_id
            )
            if isinstance(found, Failure):
                return self._refuse("submission", job_id, found.failure())
            if found.unwrap().rows:
                return Reply(ReplyKind.OK)
        answer = await self._intake.submit(route.pool, job_id, record)
        if answer in (IntakeAnswer.STORED, IntakeAnswer.KNOWN):
            return self._accept(
                route, job_id, record, answer is IntakeAnswer.STORED
            )
        may_be_stored = answer is IntakeAnswer.UNDECIDED
        if self._is_store_unreachable():
            if may_be_stored:
                return self._reply_undecided(job_id, "the store is away")
            return self._refuse_unreachable("submission", job_id)
        return await self._submit_directly(
            route, job_id, record, may_be_stored
        )

    async def _submit_directly(
        self, route: Route, job_id: str, record: JobRecord, may_be_stored: bool
    ) -> Reply:
        """Store a submission without the pool's owner."""
        name = RowName(jobs_table(route.pool), JOB_PREFIX + job_id)
        value = msgspec.json.encode(record)
        for _ in range(WRITE_ATTEMPTS):
            result = await self._store.commit(
                route.pool, {name: 0}, {name: value}
            )
            match result:
                case Success(outcome):
                    is_new = isinstance(outcome, RowCommit)
                    return self._accept(route, job_id, record, is_new)
                case Failure(fault):
                    pass
            if fault.code is PLATFORM_UNREACHABLE:
                if may_be_stored:
                    continue
                return self._refuse("submission", job_id, fault)
            may_be_stored = True
            if self._is_store_unreachable():
                break
        return self._reply_undecided(job_id, str(fault))

    def _accept(
        self, route: Route, job_id: str, record: JobRecord, is_new: bool
    ) -> Reply:
        """Tell a caller that its job is stored."""
        self._metrics.count("jobs-accepted" if is_new else "jobs-repeated")
        log_change(
            "job-accepted",
            job=job_id,
            queue=route.name,
            pool=route.pool,
            steps=len(record.steps),
            known=not is_new,
        )
        return Reply(ReplyKind.OK)

    def _reply_undecided(self, job_id: str, reason: str) -> Reply:
        """Tell a caller that its job may have been stored."""
        log_change("submission-undecided", job=job_id, reason=reason)
        self._metrics.count("jobs-undecided")
        return Reply(ReplyKind.UNDECIDED)

    async def cancel(self, route: Route, job_id: str) -> Reply:
        """Store a cancel; the pool's owner acts on it."""
        if self._is_store_unreachable():
            return self._refuse_unreachable("cancel", job_id)
        fault: Fault | None = None
        for pool in self._pools_of.get(route.name, [route.pool]):
            found = await self._read_one(
                jobs_table(pool), pool, JOB_PREFIX + job_id
            )
            if isinstance(found, Failure):
                return self._refuse("cancel", job_id, found.failure())
            if not found.unwrap().rows:
                continue
            name = RowName(jobs_table(pool), CANCEL_PREFIX + job_id)
            value = msgspec.json.encode(CancelRecord(self._clock.unix_ms()))
            for _ in range(WRITE_ATTEMPTS):
                result = await self._store.commit(
                    pool, {name: 0}, {name: value}
                )
                if isinstance(result, Success):
                    log_change("job-cancelled", job=job_id, pool=pool)
                    self._metrics.count("jobs-cancelled")
                    return Reply(ReplyKind.OK)
                fault = result.failure()
            assert fault is not None
            log_fault("cancel-undecided", fault, job=job_id)
            return Reply(ReplyKind.UNDECIDED)
        return Reply(ReplyKind.UNKNOWN_JOB)

    async def state(self, route: Route, job_id: str) -> Reply:
        """Return a job's state as the store has it."""
        known = self._final_states.get(job_id)
        if known is not None:
            return Reply(ReplyKind.OK, state=known)
        if self._is_store_unreachable():
            return self._refuse_unreachable("question", job_id)
        pools = self._pools_of.get(route.name, [route.pool])
        for pool in pools:
            read = await self._read_one(PROGRESS_TABLE, pool, job_id)
            if isinstance(read, Failure):
                return self._refuse("question", job_id, read.failure())
            rows = read.unwrap().rows
            progress = decode_progress(rows[0].value or b"") if rows else None
            if progress is None:
                continue
            if progress.state in JobState.FINAL:
                self._remember(job_id, progress.state)
            return Reply(ReplyKind.OK, state=progress.state)
        for pool in pools:
            read = await self._read_one(
                jobs_table(pool), pool, JOB_PREFIX + job_id
            )
            if isinstance(read, Failure):
                return self._refuse("question", job_id, read.failure())
            if read.unwrap().rows:
                return Reply(ReplyKind.OK, state=JobState.QUEUED)
        return Reply(ReplyKind.UNKNOWN_JOB)

    async def pending(self, route: Route) -> Reply:
        """Return how many accepted jobs of a queue have not started.

        The pool's owner counts them in its summary.
        """
        if self._is_store_unreachable():
            return self._refuse_unreachable("count", route.name)
        read = await self._read_one(SUMMARIES_TABLE, route.pool, SUMMARY_KEY)
        if isinstance(read, Failure):
            return self._refuse("count", route.name, read.failure())
        for row in read.unwrap().rows:
            summary = decode_summary(row.value or b"")
            if summary is not None:
                count = summary.waiting.get(route.name, 0)
                return Reply(ReplyKind.OK, pending=count)
        return Reply(ReplyKind.OK)

    async def _read_one(
        self, table: str, part: str, key: str
    ) -> Result[RowSet, Fault]:
        """Read the row of one key, if there is one."""
        return await self._store.read(table, part, key, key + "\0")

    def _refuse(self, operation: str, subject: str, fault: Fault) -> Reply:
        """Tell a caller that nothing was done."""
        log_fault(f"{operation}-refused", fault, subject=subject)
        self._metrics.count(f"refused-{operation}")
        return Reply(ReplyKind.REFUSED)

    def _refuse_unreachable(self, operation: str, subject: str) -> Reply:
        """Tell a caller at once that the store can't be reached."""
        log_change(
            f"{operation}-refused", subject=subject, reason="the store is away"
        )
        self._metrics.count(f"refused-{operation}")
        return Reply(ReplyKind.REFUSED)

    def _remember(self, job_id: str, state: str) -> None:
        """Keep a final state, within a bound."""
        if len(self._final_states) >= REMEMBERED_MAX:
            self._final_states.pop(next(iter(self._final_states)))
        self._final_states[job_id] = state


def _assume_reachable() -> bool:
    """Take the store for reachable."""
    return False
