"""The operators' routes for the daemon, its hosts and its pools."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from lycheelug.http import Answer, json_answer
from lycheelug.operators.messages import (
    HostView,
    MemberView,
    PoolView,
    StatusView,
)
from lycheelug.operators.routes import OperatorRequest, route

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon
    from lycheelug.records import HostRow


@route("GET", "/v1/status")
async def get_status(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the daemon's state and the state of its known members."""
    del request
    members: list[MemberView] = []
    for member in daemon.core.members.status(time.monotonic()):
        members.append(
            MemberView(
                member.name,
                member.zone,
                member.state.value,
                member.address,
                member.run,
                member.joined,
                member.age_s,
                member.table_revision,
                member.config_revision,
            )
        )
    queued = sum(scheduler.queued for scheduler in daemon.core.pools.all())
    view = StatusView(
        name=daemon.core.settings.name,
        zone=daemon.core.settings.zone,
        run=daemon.core.run_id,
        phase=daemon.core.phase.value,
        uptime_s=daemon.core.uptime_s,
        platform_binding=daemon.core.settings.platform.binding,
        platform_reachable=not daemon.watch.is_platform_unreachable,
        table_revision=daemon.core.view.revision,
        host_list_revision=daemon.core.view.host_list_revision,
        config_revision=daemon.config.accepted.revision,
        requests_in_flight=daemon.requests.in_flight,
        requests_queued=queued,
        connections=daemon.connections,
        members=members,
    )
    return json_answer(200, view)


@route("GET", "/v1/hosts")
async def get_hosts(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the worker hosts in the daemon's zone."""
    del request
    rows: list[HostView] = []
    for _, row in sorted(daemon.core.view.hosts.items()):
        rows.append(_host_view(daemon, row))
    return json_answer(200, rows)


def _host_view(daemon: Daemon, row: HostRow) -> HostView:
    """Return the state and the use of one host."""
    now = time.monotonic()
    listed_state = daemon.core.view.listed_state(row.name)
    scheduler = daemon.core.pools.get(row.pool)
    use = "unused"
    limit = 0
    if scheduler is not None:
        for executor in scheduler.executors.executors:
            if executor.name == row.name:
                use = "used"
                limit = executor.limit
        if row.name in scheduler.executors.ejected:
            use = "ejected"
    if daemon.core.leaving.is_leaving(row.name, now):
        use = "leaving"
    return HostView(
        name=row.name,
        zone=row.zone,
        rack=row.rack,
        pool=row.pool,
        phase=row.phase.value,
        listed=listed_state.value if listed_state else "",
        address=daemon.core.view.address(row.name),
        use=use,
        in_flight=daemon.core.pools.in_flight_on(row.name),
        limit=limit,
    )


@route("GET", "/v1/pools")
async def get_pools(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the state and the load of the pools at this daemon."""
    del request
    rows: list[PoolView] = []
    for name, row in sorted(daemon.core.view.pools.items()):
        scheduler = daemon.core.pools.get(name)
        if scheduler is None:
            continue
        executors = scheduler.executors
        rows.append(
            PoolView(
                name=name,
                min_available=row.min_available,
                spare=row.spare,
                hosts=len(executors.executors),
                usable_slots=executors.capacity,
                in_flight=executors.in_flight,
                queued=scheduler.queued,
                ejected=executors.ejected,
                out=row.out,
            )
        )
    return json_answer(200, rows)
