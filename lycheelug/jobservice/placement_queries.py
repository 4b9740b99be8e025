"""Answers where a job would go, or what it waits for, by a pool's owner.

The owner answers from memory.  Nothing is started, stored or counted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.queue_policies import policy_record
from lycheelug.jobservice.tables import decode_job
from lycheelug.whereabouts import PlacementReport, locate_job, locate_record
from lycheelug.workloads import QueuePolicy

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.held_duty import DutyHolder

    AskRemote = Callable[[str, "PlacementQuery"], Awaitable["PlacementAnswer"]]

__all__ = ["PlacementAnswer", "PlacementQueries", "PlacementQuery"]


class PlacementQuery(msgspec.Struct, omit_defaults=True):
    """Asks for a job that was sent, or for a record that wasn't."""

    pool: str
    job_id: str = ""
    # The encoded job record.
    record: bytes = b""


class PlacementAnswer(msgspec.Struct, omit_defaults=True):
    """The owner's report, or why there is none."""

    report: PlacementReport | None = None
    error: str = ""
    # Whether the owner has answered that it doesn't have the job.
    is_unknown_job: bool = False


class PlacementQueries:
    """Passes queries to the owners of pools, here or on peers."""

    __slots__ = (
        "_ask_remote",
        "_context",
        "_held",
        "_name",
        "_owner_address",
    )

    def __init__(
        self,
        name: str,
        context: OwnerContext,
        held: Callable[[], Mapping[str, DutyHolder]],
        owner_address: Callable[[str], str],
        ask_remote: AskRemote | None = None,
    ) -> None:
        # The name of this daemon.
        self._name = name
        self._context = context
        # Returns the duties of this daemon.
        self._held = held
        # Returns the address of a pool's owner; empty if it isn't known.
        self._owner_address = owner_address
        # Asks the daemon at an address.
        self._ask_remote = ask_remote

    async def ask(self, query: PlacementQuery) -> PlacementAnswer:
        """Return the answer of a pool's owner."""
        if query.pool in self._held() or self._ask_remote is None:
            return self.answer_locally(query)
        address = self._owner_address(query.pool)
        if not address:
            return PlacementAnswer(error=f"pool {query.pool} has no owner now")
        return await self._ask_remote(address, query)

    async def find(self, job_id: str, pools: list[str]) -> PlacementAnswer:
        """Return the answer of the first pool that has a job."""
        silent: list[str] = []
        for pool in pools:
            answer = await self.ask(PlacementQuery(pool, job_id))
            if answer.report is not None:
                return answer
            if not answer.is_unknown_job:
                silent.append(answer.error)
        if silent:
            return PlacementAnswer(error="; ".join(silent))
        return PlacementAnswer(
            error=f"no pool has job {job_id}", is_unknown_job=True
        )

    def answer_locally(self, query: PlacementQuery) -> PlacementAnswer:
        """Answer a query if this daemon owns the pool."""
        owner = self._held().get(query.pool)
        if not isinstance(owner, PoolOwner):
            return PlacementAnswer(
                error=f"{self._name} does not own pool {query.pool}"
            )
        report = self._report(owner, query)
        if isinstance(report, PlacementAnswer):
            return report
        context = self._context
        report.owner = self._name
        report.ownership_age_s = round(
            context.clock.now() - owner.verified_at, 2
        )
        report.executor_list_age_s = round(context.executor_list_age_s(), 2)
        configuration = context.configuration()
        if configuration is not None:
            report.configuration_version = configuration.version
        return PlacementAnswer(report)

    def _report(
        self, owner: PoolOwner, query: PlacementQuery
    ) -> PlacementReport | PlacementAnswer:
        """Return the report on a query, or an answer without one."""
        now = self._context.clock.now()
        unix_ms = self._context.clock.unix_ms()
        if query.job_id:
            job = owner.schedule.jobs.get(query.job_id)
            ended = owner.schedule.ended_jobs.find(query.job_id)
            if ended is not None:
                return PlacementReport(
                    ended.queue, query.pool, ended.state, query.job_id
                )
            if job is None:
                return PlacementAnswer(
                    error=f"pool {query.pool} has no job {query.job_id}",
                    is_unknown_job=True,
                )
            return locate_job(owner.schedule, job, now, unix_ms)
        record = decode_job(query.record)
        configuration = self._context.configuration()
        route = (
            configuration.find_queue(record.queue)
            if (record is not None and configuration is not None)
            else None
        )
        if (
            record is None
            or configuration is None
            or route is None
            or not route.has_policy
        ):
            return PlacementAnswer(
                error="the owner does not know the job's queue yet"
            )
        policy = QueuePolicy.of(
            route.name,
            route.pool,
            policy_record(route, configuration.version),
        )
        return locate_record(owner.schedule, record, policy, now, unix_ms)
