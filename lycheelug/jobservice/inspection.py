"""Reads the job service's rows in the store for operators' commands.

The only write is a cancel.  No daemon is contacted, because owners rely on
the same rows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
from returns.result import Failure, Success

from lycheelug.decoding import decode_json
from lycheelug.fleetplan import SUMMARIES_TABLE
from lycheelug.jobservice.plan_store import PlanStore
from lycheelug.jobservice.summary import join_summaries
from lycheelug.jobservice.tables import (
    CANCEL_PREFIX,
    FLEET_PART,
    JOB_PREFIX,
    PROGRESS_TABLE,
    CancelRecord,
    decode_job,
    jobs_table,
    read_progress,
)
from lycheelug.jobservice.tenant_ledger import (
    TENANT_SHARES_TABLE,
    TENANTS_PART,
)
from lycheelug.jobservice.used_executors import (
    USED_EXECUTORS_TABLE,
    UsedExecutor,
    decode_used_executors,
)
from lycheelug.ownership import (
    DAEMONS_TABLE,
    OWNER_KEY,
    OWNERS_TABLE,
    PEERS_TABLE,
    HeartbeatRecord,
    OwnerRecord,
    PeerRecord,
)
from lycheelug.store.rows import RowCommit, RowName
from lycheelug.tenants.records import decode_share, describe_lack
from lycheelug.workloads import JobState

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.tables import StoredProgress
    from lycheelug.store.rows import RowStore, StoredRow

__all__ = [
    "DaemonView",
    "ExecutorRow",
    "Inspection",
    "JobView",
    "OwnerView",
    "PoolView",
    "WaveView",
]

T = TypeVar("T")


class OwnerView(msgspec.Struct):
    """The owner of a duty: a pool, or the fleet plan."""

    duty: str
    # Empty after it was released and before it is claimed.
    holder: str
    # The fencing token of the holder's orders.
    term: int
    version: int


class DaemonView(msgspec.Struct):
    """One daemon, with its last heartbeat if it was in the duty group."""

    name: str
    zone: str
    address: str
    # The number of the heartbeat; 0 if it has written none.
    beat: int
    leaving: bool


class PoolView(msgspec.Struct):
    """A pool's last stored summary; CPU in thousandths of a core."""

    pool: str
    term: int
    hosts: int
    usable_hosts: int
    running_cpu: int
    ready_cpu: int
    lasting_cpu: int
    waiting_jobs: int


class ExecutorRow(msgspec.Struct):
    """One executor in the last stored summary of its pool."""

    pool: str
    executor: str
    host: str
    address: str
    runs: int
    used_cpu: int
    capacity_cpu: int
    is_usable: bool


class WaveView(msgspec.Struct):
    """A maintenance wave: hosts done and in progress, and its state."""

    wave: int
    maintained: int
    under_way: int
    is_completed: bool


class JobView(msgspec.Struct):
    """The state of one job, from its submission and progress rows."""

    job: str
    pool: str
    queue: str
    state: str
    steps: int
    # Unix time in milliseconds at the daemon that accepted it.
    accepted_ms: int
    # The term of the owner that first marked it as begun; 0 for none.
    begun_term: int
    finished_tasks: int
    failed_runs: int
    is_cancelled: bool
    # Why it was set aside or given up; empty otherwise.
    reason: str = ""
    # Executors that were lost under its unfinished tasks.
    lost_executors: list[str] = []
    # Empty for none.
    tenant: str = ""
    # What its tenant lacks in the pool; empty for nothing.
    waits_for: str = ""


class Inspection:
    """Answers queries from the job service's rows, without a cache."""

    __slots__ = ("_store",)

    def __init__(self, store: RowStore) -> None:
        self._store = store

    async def owners(self) -> Result[list[OwnerView], Fault]:
        """Return the owner of each duty."""
        read = await self._read_all(OWNERS_TABLE)
        if isinstance(read, Failure):
            return Failure(read.failure())
        found: list[OwnerView] = []
        for row in read.unwrap():
            if row.key != OWNER_KEY:
                continue
            record = _decode(row, OwnerRecord)
            if record is not None:
                found.append(
                    OwnerView(
                        row.part, record.holder, record.term, row.version
                    )
                )
        return Success(found)

    async def daemons(self) -> Result[list[DaemonView], Fault]:
        """Return all daemons, with the heartbeats of the duty group."""
        peers = await self._read_all(PEERS_TABLE)
        if isinstance(peers, Failure):
            return Failure(peers.failure())
        beats = await self._read_all(DAEMONS_TABLE)
        if isinstance(beats, Failure):
            return Failure(beats.failure())
        found: dict[str, DaemonView] = {}
        for row in peers.unwrap():
            peer = _decode(row, PeerRecord)
            if peer is not None:
                found[peer.name] = DaemonView(
                    peer.name, row.part, peer.address, 0, False
                )
        for row in beats.unwrap():
            beat = _decode(row, HeartbeatRecord)
            if beat is not None:
                found[row.key] = DaemonView(
                    row.key, beat.zone, beat.address, beat.beat, beat.leaving
                )
        return Success([found[name] for name in sorted(found)])

    async def pools(self) -> Result[list[PoolView], Fault]:
        """Return the load of each pool."""
        read = await self._read_all(SUMMARIES_TABLE)
        if isinstance(read, Failure):
            return Failure(read.failure())
        found: list[PoolView] = []
        for pool, summary in join_summaries(read.unwrap()).items():
            loads = summary.hosts.values()
            found.append(
                PoolView(
                    pool,
                    summary.term,
                    len(loads),
                    sum(load.is_usable for load in loads),
                    summary.running_cpu,
                    summary.ready_cpu,
                    summary.lasting_cpu,
                    sum(summary.waiting.values()),
                )
            )
        return Success(found)

    async def executors(self, pool: str) -> Result[list[ExecutorRow], Fault]:
        """Return the executors of a pool."""
        read = await self._store.read(SUMMARIES_TABLE, pool)
        if isinstance(read, Failure):
            return Failure(read.failure())
        recorded = await self._store.read(USED_EXECUTORS_TABLE, pool)
        if isinstance(recorded, Failure):
            return Failure(recorded.failure())
        used: dict[str, UsedExecutor] = {}
        for row in recorded.unwrap().rows:
            used.update(decode_used_executors(row.value or b"") or {})
        found: list[ExecutorRow] = []
        for summary in join_summaries(read.unwrap().rows).values():
            for host, load in sorted(summary.hosts.items()):
                known = used.get(load.executor)
                found.append(
                    ExecutorRow(
                        pool,
                        load.executor,
                        host,
                        known.address if known is not None else "",
                        load.runs,
                        load.used_cpu,
                        known.capacity_cpu if known is not None else 0,
                        load.is_usable,
                    )
                )
        return Success(found)

    async def waves(self) -> Result[list[WaveView], Fault]:
        """Return the waves that the planner has begun."""
        loaded = await PlanStore(self._store, 0).load(0)
        if isinstance(loaded, Failure):
            return Failure(loaded.failure())
        plan = loaded.unwrap()
        orders = [order.wave for order in plan.orders.values()]
        numbers = {int(number) for number in plan.maintained}
        numbers.update(wave for wave in orders if wave)
        found: list[WaveView] = []
        for number in sorted(numbers):
            found.append(
                WaveView(
                    number,
                    len(plan.maintained.get(str(number), ())),
                    orders.count(number),
                    number in plan.completed,
                )
            )
        return Success(found)

    async def jobs(self, pool: str) -> Result[list[JobView], Fault]:
        """Return all jobs of a pool whose rows still exist."""
        submitted = await self._store.read(jobs_table(pool), pool)
        if isinstance(submitted, Failure):
            return Failure(submitted.failure())
        progress = await self._store.read(PROGRESS_TABLE, pool)
        if isinstance(progress, Failure):
            return Failure(progress.failure())
        by_key = {row.key: row for row in submitted.unwrap().rows}
        stored = read_progress(progress.unwrap().rows)
        found: list[JobView] = []
        for key, row in by_key.items():
            if not key.startswith(JOB_PREFIX):
                continue
            job_id = key[len(JOB_PREFIX) :]
            is_cancelled = CANCEL_PREFIX + job_id in by_key
            view = _job_view(pool, job_id, row, stored.get(job_id))
            if view is not None:
                view.is_cancelled = is_cancelled
                found.append(view)
        return Success(found)

    async def job(self, job_id: str) -> Result[JobView | None, Fault]:
        """Find a job in all owned pools; return None if none has it."""
        owners = await self.owners()
        if isinstance(owners, Failure):
            return Failure(owners.failure())
        for owner in owners.unwrap():
            if owner.duty == FLEET_PART:
                continue
            jobs = await self.jobs(owner.duty)
            if isinstance(jobs, Failure):
                return Failure(jobs.failure())
            for view in jobs.unwrap():
                if view.job == job_id:
                    return await self._add_cap(view)
        return Success(None)

    async def _add_cap(self, view: JobView) -> Result[JobView | None, Fault]:
        """Add whether the pool lacks a part of the tenant's cap."""
        if not view.tenant or view.state in JobState.FINAL:
            return Success(view)
        read = await self._store.read(
            TENANT_SHARES_TABLE, TENANTS_PART, view.tenant, view.tenant + "\0"
        )
        if isinstance(read, Failure):
            return Failure(read.failure())
        for row in read.unwrap().rows:
            record = decode_share(row.value or b"")
            if record is not None:
                view.waits_for = describe_lack(record, view.pool)
        return Success(view)

    async def cancel(self, view: JobView, unix_ms: int) -> Result[bool, Fault]:
        """Cancel a job; return False if it was cancelled before."""
        name = RowName(jobs_table(view.pool), CANCEL_PREFIX + view.job)
        value = msgspec.json.encode(CancelRecord(unix_ms))
        done = await self._store.commit(view.pool, {name: 0}, {name: value})
        if isinstance(done, Failure):
            return Failure(done.failure())
        return Success(isinstance(done.unwrap(), RowCommit))

    async def _read_all(self, table: str) -> Result[list[StoredRow], Fault]:
        """Return the rows of all parts of a table."""
        parts = await self._store.parts(table)
        if isinstance(parts, Failure):
            return Failure(parts.failure())
        found: list[StoredRow] = []
        for part in parts.unwrap():
            read = await self._store.read(table, part)
            if isinstance(read, Failure):
                return Failure(read.failure())
            found.extend(read.unwrap().rows)
        return Success(found)


def _decode(row: StoredRow, kind: type[T]) -> T | None:
    """Decode a row's record; return None for invalid bytes."""
    return decode_json(row.value or b"", kind).value_or(None)


def _job_view(
    pool: str, job_id: str, row: StoredRow, stored: StoredProgress | None
) -> JobView | None:
    """Build a job's view from its rows; return None if unreadable."""
    record = decode_job(row.value or b"")
    if record is None:
        return None
    progress = stored.progress if stored is not None else None
    return JobView(
        job_id,
        pool,
        record.queue,
        progress.state if progress is not None else JobState.QUEUED,
        len(record.steps),
        record.accepted_ms,
        progress.begun_term if progress is not None else 0,
        sum(map(len, progress.done.values())) if progress is not None else 0,
        sum(progress.failures.values()) if progress is not None else 0,
        False,
        progress.reason if progress is not None else "",
        progress.lost_executors if progress is not None else [],
        record.tenant,
    )
