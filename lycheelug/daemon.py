"""Assembles one entry daemon and runs its life cycle.

Phases: starting (listens and reports that it is not ready), ready,
draining (rejects new requests and finishes those in flight) and stopped.
All components run on one event loop and belong to this module.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from lycheelug.callers.answers import refuse_incomplete
from lycheelug.config_exchange import ConfigExchange
from lycheelug.config_submitter import ConfigSubmitter
from lycheelug.configuration import ConfigState
from lycheelug.core import Core, Phase
from lycheelug.embedded import fill_embedded
from lycheelug.entries.codec import MAX_MESSAGE_BYTES
from lycheelug.entries.gossip import Gossip
from lycheelug.entries.reaper import Reaper
from lycheelug.entries.refresh import Refresh
from lycheelug.entries.service import EntryServer
from lycheelug.entry_service import DaemonEntryHandler
from lycheelug.fleet_sync import FleetSync
from lycheelug.freshness import FreshnessGate
from lycheelug.http import HttpServer, ServerLimits
from lycheelug.logs import log_change
from lycheelug.operators.server import OperatorService
from lycheelug.peer_server import PeerLimits
from lycheelug.plan_loop import PlanLoop
from lycheelug.request_path import RequestPath
from lycheelug.runtime_config import RuntimeSettings, validate_body
from lycheelug.settings_schema import split_address
from lycheelug.startup import (
    enter_fleet,
    join_later,
    leave_fleet,
    peer_clients,
)
from lycheelug.store.watch import Watch

if TYPE_CHECKING:
    import random

    from lycheelug.configuration import Configuration
    from lycheelug.settings import Settings

__all__ = ["Daemon"]

# Period of the timer task: while requests wait, and otherwise.
BUSY_TICK_S: Final = 0.1
IDLE_TICK_S: Final = 0.4
SHARES_PERIOD_S: Final = 1.0
DRAIN_POLL_S: Final = 0.02
# A connection that was idle for this long is unlikely to have a request in
# transit, so closing it has little risk of losing one.
QUIET_CONNECTION_S: Final = 0.5
# Time from the first rejected request until listening ends.  In this time
# the load balancer and callers with open connections notice the drain.
DRAIN_NOTICE_S: Final = 0.25
STOP_FLUSH_S: Final = 2.0
REAP_PERIOD_S: Final = 5.0


class Daemon:
    """One entry daemon: its components, servers and background tasks."""

    __slots__ = (
        "_callers_server",
        "_entry_server",
        "_join_task",
        "_operators_server",
        "_reap_task",
        "_runtime",
        "_timer_task",
        "config",
        "config_submitter",
        "core",
        "gate",
        "gossip",
        "plan",
        "requests",
        "superseded",
        "sync",
        "watch",
    )

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        core = Core(settings, rng)
        self.core = core
        self._runtime = RuntimeSettings(settings)
        self.config = ConfigExchange(
            core.members,
            core.clients,
            ConfigState(validate_body),
            self._apply_config,
        )
        self.config_submitter = ConfigSubmitter(
            core.platform, self.config, time.monotonic, rng
        )
        self.sync = FleetSync(core, self.config)
        self.gate = FreshnessGate(self._refresh)
        self.requests = RequestPath(core, self.gate)
        self.gossip = self._make_gossip()
        self.watch = self._make_watch()
        self.plan = PlanLoop(
            core.platform,
            settings.name,
            core.run_id,
            rng,
            self.sync.fresh_digests,
            self._executes_plan,
        )
        self._callers_server = self._make_callers_server()
        self._operators_server = HttpServer(
            OperatorService(self, settings.operator_token).handle,
            ServerLimits(
                max_connections=settings.limits.max_operator_connections,
                max_held_bytes=settings.limits.max_held_bytes,
                receive_s=settings.limits.receive_s,
                send_s=settings.limits.send_s,
            ),
            on_refused=self._count_refused,
            name="operators",
        )
        # Set when other daemons have ended this run, so it must stop.
        self.superseded = asyncio.Event()
        self._entry_server: EntryServer | None = None
        self._timer_task: asyncio.Task[None] | None = None
        self._join_task: asyncio.Task[None] | None = None
        self._reap_task: asyncio.Task[None] | None = None

    @property
    def connections(self) -> int:
        """The number of open connections of callers."""
        return self._callers_server.connections

    @property
    def in_flight(self) -> int:
        """The number of requests and jobs in progress."""
        return self.requests.in_flight

    @property
    def ports(self) -> tuple[int, int, int]:
        """The bound ports for callers, operators and entry daemons."""
        assert self._entry_server is not None
        return (
            self._callers_server.port,
            self._operators_server.port,
            self._entry_server.port,
        )

    # --- Life cycle.

    async def start(self) -> None:
        """Listen, join the fleet and become ready.

        Raise OSError if the daemon cannot listen on an address.
        """
        await self._listen()
        await fill_embedded(self.core.platform, self.core.settings)
        self._timer_task = asyncio.create_task(self._run_timer())
        await enter_fleet(self)
        await self.config.catch_up()
        self.watch.start()
        self.gossip.start()
        self.plan.start()
        self.requests.start()
        self._reap_task = asyncio.create_task(self._run_reaper())
        self.sync.sync_pools()
        self.core.enter_phase(Phase.READY)
        callers, operators, entries = self.ports
        log_change(
            "listening", callers=callers, operators=operators, entries=entries
        )

    def join_in_background(self) -> None:
        """Retry joining in the background while a peer's view is used."""
        self._join_task = asyncio.create_task(join_later(self))

    async def drain(self) -> int:
        """Finish the requests in flight; return how many were cut off.

        New requests are rejected as not run.  The peers redistribute this
        daemon's slots at once, but the drain of a host still waits for
        this run until it has ended.
        """
        self.requests.job_runner.stop_claiming()
        self.core.enter_phase(Phase.DRAINING)
        self._callers_server.refuse_new_requests()
        await asyncio.gather(
            self.gossip.exchange_with_all(), asyncio.sleep(DRAIN_NOTICE_S)
        )
        self._callers_server.stop_accepting()
        deadline = time.monotonic() + self.core.settings.timing.grace_s
        while True:
            if time.monotonic() >= deadline:
                break
            if not self._is_busy() and self._callers_server.close_idle():
                break
            await asyncio.sleep(DRAIN_POLL_S)
        await self.requests.flush_writes(max(0.0, deadline - time.monotonic()))
        return self.in_flight

    async def stop(self) -> None:
        """Stop all tasks, servers and clients."""
        await self.plan.stop()
        await self.gossip.announce_leave()
        await self.gossip.stop()
        await self.config.stop()
        await self.watch.stop()
        await self.requests.stop(STOP_FLUSH_S)
        await leave_fleet(self)
        for task in (self._timer_task, self._join_task, self._reap_task):
            if task is not None:
                task.cancel()
        self._callers_server.stop()
        self._operators_server.stop()
        if self._entry_server is not None:
            await self._entry_server.stop()
        self.core.clients.close()
        await self.core.platform.close()
        self.core.enter_phase(Phase.STOPPED)

    def _is_busy(self) -> bool:
        """Return whether a request is in progress or may be in transit."""
        is_quiet = self._callers_server.is_idle_for(QUIET_CONNECTION_S)
        return bool(self.in_flight or not is_quiet)

    async def _run_timer(self) -> None:
        """Run the periodic checks that no event triggers."""
        next_shares_at = 0.0
        while True:
            waiting = self.core.pools.has_waiting()
            await asyncio.sleep(BUSY_TICK_S if waiting else IDLE_TICK_S)
            now = time.monotonic()
            self.gate.tick()
            self._stop_if_superseded()
            if not self.watch.is_platform_unreachable:
                self.core.leaving.record_list_answer(now)
            self.sync.sync_pools()
            self.core.pools.tick()
            if now >= next_shares_at:
                # A member that becomes unresponsive causes no event.
                next_shares_at = now + SHARES_PERIOD_S
                self.sync.update_shares()

    def _stop_if_superseded(self) -> None:
        """Request a stop if other daemons have ended this run.

        Plans no longer wait for this daemon, so it must not dispatch any
        further request.
        """
        if not self.core.members.is_superseded or self.superseded.is_set():
            return
        log_change("superseded", run=self.core.run_id)
        self.core.pools.stop_dispatch()
        self.superseded.set()

    async def _run_reaper(self) -> None:
        """Remove the rows of daemons whose hosts have been removed."""
        reaper = Reaper(
            self.core.platform,
            self.core.members,
            time.monotonic,
            self.core.rng,
        )
        while True:
            await asyncio.sleep(REAP_PERIOD_S)
            if not self._executes_plan():
                continue
            for name in await reaper.run_once():
                log_change("removed", entry=name)

    async def _refresh(self) -> bool:
        """Refresh the view after this process was paused."""
        core = self.core
        refresh = Refresh(
            core.platform,
            core.view,
            self.watch,
            core.members,
            self.gate.pauses,
            core.rng,
            self.sync.on_rows,
        )
        return await refresh.run(core.join_revision, peer_clients(self))

    def _executes_plan(self) -> bool:
        """Return whether this daemon executes the plan."""
        return (
            self.core.has_lowest_ready_name() and not self.gate.pauses.is_stale
        )

    def _apply_config(self, configuration: Configuration) -> None:
        """Apply an accepted configuration."""
        self._runtime.apply(configuration.body)
        self.sync.rebuild_pools()
        log_change("configuration", revision=configuration.revision)

    # --- Construction.

    def _make_gossip(self) -> Gossip:
        """Return the gossip exchange, not yet started."""
        core = self.core
        return Gossip(
            core.members,
            core.clients,
            self.sync.publish,
            time.monotonic,
            core.rng,
            on_change=self.sync.on_digests,
            period_s=core.settings.timing.gossip_s,
        )

    def _make_watch(self) -> Watch:
        """Return the watch that polls the platform, not yet started."""
        core = self.core
        return Watch(
            core.platform,
            core.view,
            core.rng,
            self.sync.on_rows,
            self.sync.on_entry_hosts,
            period_s=core.settings.platform.poll_s,
        )

    def _count_refused(self, reason: str) -> None:
        """Count a refused request or a connection that was closed."""
        self.core.metrics.count(f"unread.{reason}")

    def _make_callers_server(self) -> HttpServer:
        """Return the server for callers, not yet listening."""
        limits = self.core.settings.limits

        return HttpServer(
            self.requests.callers.handle,
            ServerLimits(
                max_connections=limits.max_connections,
                max_head_bytes=limits.max_head_bytes,
                max_body_bytes=limits.max_body_bytes,
                receive_s=limits.receive_s,
                send_s=limits.send_s,
                idle_s=limits.max_idle_s,
                max_headers=limits.max_headers,
                max_held_bytes=limits.max_held_bytes,
                max_connections_per_address=(
                    limits.max_connections_per_address
                ),
            ),
            refuse_incomplete,
            self._count_refused,
            "callers",
        )

    async def _listen(self) -> None:
        """Open the three listening sockets."""
        listen = self.core.settings.listen
        host, port = _split_valid_address(listen.entries)
        limits = self.core.settings.limits
        self._entry_server = EntryServer(
            host,
            port,
            DaemonEntryHandler(self),
            PeerLimits(
                max_connections=limits.max_entry_connections,
                max_message_bytes=MAX_MESSAGE_BYTES,
                max_held_bytes=limits.max_held_bytes,
                receive_s=limits.receive_s,
                send_s=limits.send_s,
            ),
            self._count_refused,
        )
        await self._entry_server.start()
        self.core.members.own.address = self._entry_server.address
        host, port = _split_valid_address(listen.operators)
        await self._operators_server.start(host, port)
        host, port = _split_valid_address(listen.callers)
        await self._callers_server.start(host, port)


def _split_valid_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of a validated address."""
    split = split_address(address)
    assert split is not None
    return split
