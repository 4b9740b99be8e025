"""Periodic cleanup by a pool's owner: dead executors and finished jobs."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.fleetplan import HostState
from lycheelug.jobservice.host_reads import read_interval_s
from lycheelug.logs import log_change, log_fault
from lycheelug.workloads import HostEvidence, LossCause

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from lycheelug.fleetplan import HostInfo
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner

__all__ = [
    "find_host_evidence",
    "remove_ended_incarnations",
    "remove_finished_jobs",
]

# How often the list of hosts is read at most while executors are
# unresponsive, and the bytes that these reads may take a second.
HOST_CHECK_INTERVAL_S: Final = 0.5
HOST_CHECK_BYTES_PER_S: Final = 60_000
# How long the rows of finished jobs are kept for callers' queries.  The
# platform requires 120 s; the rest covers clock differences of daemons.
FINISHED_RETENTION_S: Final = 180
SWEEP_S: Final = 5.0
# How soon what isn't needed of finished jobs is dropped.
RELEASE_S: Final = 1.0
# Jobs whose rows one transaction removes: three writes each, and a
# transaction has at most 100.
SWEEP_MAX: Final = 30


async def remove_ended_incarnations(
    context: OwnerContext, owner: PoolOwner
) -> None:
    """Remove executors whose hosts were restarted or changed the pool.

    A host that is moved or in maintenance refuses connections while the
    old executor's entry still exists.  Only the list of hosts shows that
    the old incarnation has ended.
    """
    interval_s = HOST_CHECK_INTERVAL_S
    read_at = -math.inf
    while True:
        await asyncio.sleep(HOST_CHECK_INTERVAL_S)
        unresponsive = owner.schedule.unresponsive_executors()
        silent = owner.schedule.crashes.unproved_executors()
        now = context.clock.now()
        if not unresponsive and not silent:
            continue
        if now - read_at < interval_s:
            continue
        read_at = now
        result = await context.hosts.hosts()
        if isinstance(result, Failure):
            log_fault("hosts-not-read", result.failure(), pool=owner.pool)
            continue
        hosts = {host.name: host for host in result.unwrap()}
        # An entry may name a wrong host.
        hosts_by_executor = {host.executor_id: host for host in hosts.values()}
        interval_s = read_interval_s(
            len(hosts),
            HOST_CHECK_INTERVAL_S,
            HOST_CHECK_BYTES_PER_S,
            context.weight,
        )
        ordered = _hosts_under_order(owner, hosts)
        for view in unresponsive:
            host = hosts_by_executor.get(
                view.executor_id, hosts.get(view.info.host)
            )
            if host is None or not host.has_incarnation_ended(
                view.executor_id
            ):
                continue
            log_change(
                "executor-ended",
                pool=owner.pool,
                executor=view.executor_id,
                host=host.name,
                state=host.state.name.lower(),
                present=host.executor_id,
            )
            owner.schedule.remove_executor(
                view.executor_id,
                context.clock.now(),
                LossCause.HOST_ORDER
                if host.name in ordered
                else LossCause.NOT_LISTED,
            )
            owner.wake()
        evidence = find_host_evidence(hosts, silent, ordered)
        if evidence:
            owner.schedule.crashes.record_hosts(evidence)
            owner.wake()


def _hosts_under_order(
    owner: PoolOwner, hosts: Mapping[str, HostInfo]
) -> set[str]:
    """Return the hosts whose executors end, or have ended, by an order.

    A host that was moved is in another pool; one that is to be maintained
    has a drain order until a new executor is there.
    """
    found = set(owner.feeds.drain_orders)
    for host in hosts.values():
        was_moved = bool(host.pool) and host.pool != owner.pool
        if host.is_under_order or was_moved:
            found.add(host.name)
    return found


def find_host_evidence(
    hosts: Mapping[str, HostInfo],
    silent: Mapping[str, str],
    under_order: Container[str],
) -> dict[str, HostEvidence]:
    """Return what a list of hosts shows of silent executors.

    `silent` has the host of each executor that was silent when the list was
    requested; it may be empty for one that an earlier release recorded.  That
    a list lacks a host proves nothing: the list may be incomplete.
    """
    found: dict[str, HostEvidence] = {}
    hosts_by_executor = {host.executor_id: host for host in hosts.values()}
    for executor_id, name in silent.items():
        if not name:
            continue
        host = hosts_by_executor.get(executor_id, hosts.get(name))
        if host is None:
            continue
        is_down = host.state is HostState.DOWN
        if not is_down and not host.has_incarnation_ended(executor_id):
            continue
        found[executor_id] = HostEvidence.ENDED
        if host.name in under_order:
            found[executor_id] = HostEvidence.ENDED_BY_ORDER
    return found


async def remove_finished_jobs(
    context: OwnerContext, owner: PoolOwner
) -> None:
    """Remove the rows of jobs that finished long enough ago.

    Until then, little is kept of them in memory.
    """
    ended = owner.schedule.ended_jobs
    swept_at = context.clock.now()
    while True:
        await asyncio.sleep(RELEASE_S)
        ended.take_over(owner.schedule)
        now = context.clock.now()
        if now - swept_at < SWEEP_S:
            continue
        swept_at = now
        await owner.writer.remove_unclaimed()
        before_ms = context.clock.unix_ms() - FINISHED_RETENTION_S * 1000
        old = ended.ended_before(before_ms)[:SWEEP_MAX]
        if not await owner.writer.remove(old):
            continue
        for job in old:
            ended.forget(job.job_id)
