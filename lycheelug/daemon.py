"""One entry daemon: its parts, how they are joined, and its life.

Phases: starting (listens, answers not ready), ready, draining (takes no
new request, finishes all in flight) and stopped.  All parts run on one
event loop; this module owns them.
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
    from lycheelug.errors import ErrorCode
    from lycheelug.settings import Settings

__all__ = ["Daemon"]

# Period of what time alone asks for: while requests wait, and else.
BUSY_TICK_S: Final = 0.1
IDLE_TICK_S: Final = 0.4
SHARES_PERIOD_S: Final = 1.0
DRAIN_POLL_S: Final = 0.02
# A connection that was idle for this long is closed without much risk
# that its next request is on its way.
QUIET_S: Final = 0.5
# Between the first refusal and the end of listening: the balancer and
# callers with open connections are told meanwhile.
DRAIN_NOTICE_S: Final = 0.25
STOP_SETTLE_S: Final = 2.0
REAP_PERIOD_S: Final = 5.0


class Daemon:
    """One entry daemon."""

    __slots__ = (
        "_callers_server",
        "_entry_server",
        "_join_task",
        "_operators_server",
        "_reap_task",
        "_runtime",
        "_tick_task",
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
            self._drives_plan,
        )
        self._callers_server = self._make_callers_server()
        self._operators_server = HttpServer(
            OperatorService(self, settings.operator_token).handle
        )
        # Set once this run was ended by others, and has to stop.
        self.superseded = asyncio.Event()
        self._entry_server: EntryServer | None = None
        self._tick_task: asyncio.Task[None] | None = None
        self._join_task: asyncio.Task[None] | None = None
        self._reap_task: asyncio.Task[None] | None = None

    @property
    def connections(self) -> int:
        """Callers' connections."""
        return self._callers_server.connections

    @property
    def in_flight(self) -> int:
        """Requests and jobs in progress."""
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

    # --- Life.

    async def start(self) -> None:
        """Listen, join the fleet and become ready.

        Raises OSError where an address can't be listened on.
        """
        await self._listen()
        await fill_embedded(self.core.platform, self.core.settings)
        self._tick_task = asyncio.create_task(self._run_ticks())
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

    def keep_joining(self) -> None:
        """Go on trying to join while the view is a peer's."""
        self._join_task = asyncio.create_task(join_later(self))

    async def drain(self) -> int:
        """Finish all requests in flight; return how many were cut.

        What comes from now on is refused as not run.  The peers divide the
        slots anew at once, but go on waiting for this run with the drains
        of hosts until it has ended.
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
        """Close everything."""
        await self.plan.stop()
        await self.gossip.announce_leave()
        await self.gossip.stop()
        await self.config.stop()
        await self.watch.stop()
        await self.requests.stop(STOP_SETTLE_S)
        await leave_fleet(self)
        for task in (self._tick_task, self._join_task, self._reap_task):
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
        """Whether a request is in progress, or may be on its way."""
        is_quiet = self._callers_server.is_idle_for(QUIET_S)
        return bool(self.in_flight or not is_quiet)

    async def _run_ticks(self) -> None:
        """Do what time alone asks for."""
        shares_at = 0.0
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
            if now >= shares_at:
                # A member that fell silent tells nobody.
                shares_at = now + SHARES_PERIOD_S
                self.sync.update_shares()

    def _stop_if_superseded(self) -> None:
        """Ask to be stopped once others have ended this run.

        No plan waits for this daemon any more, so it dispatches nothing
        further from here on.
        """
        if not self.core.members.is_superseded or self.superseded.is_set():
            return
        log_change("superseded", run=self.core.run_id)
        self.core.pools.stop_dispatch()
        self.superseded.set()

    async def _run_reaper(self) -> None:
        """Remove the rows of daemons whose hosts are gone."""
        reaper = Reaper(
            self.core.platform,
            self.core.members,
            time.monotonic,
            self.core.rng,
        )
        while True:
            await asyncio.sleep(REAP_PERIOD_S)
            if not self._drives_plan():
                continue
            for name in await reaper.run_once():
                log_change("removed", entry=name)

    async def _refresh(self) -> bool:
        """Bring the view up to date after a pause of this process."""
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

    def _drives_plan(self) -> bool:
        """Whether it is this daemon's turn to drive the plan."""
        return self.core.is_first_name() and not self.gate.pauses.is_stale

    def _apply_config(self, configuration: Configuration) -> None:
        """Bring a configuration into force."""
        self._runtime.apply(configuration.body)
        self.sync.rebuild_pools()
        log_change("configuration", revision=configuration.revision)

    # --- Construction.

    def _make_gossip(self) -> Gossip:
        """Return the exchange of digests, not started yet."""
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
        """Return the poll of the platform, not started yet."""
        core = self.core
        return Watch(
            core.platform,
            core.view,
            core.rng,
            self.sync.on_rows,
            self.sync.on_entry_hosts,
            period_s=core.settings.platform.poll_s,
        )

    def _make_callers_server(self) -> HttpServer:
        """Return the server for callers, not listening yet."""
        limits = self.core.settings.limits

        def count(code: ErrorCode) -> None:
            self.core.metrics.count(f"unread.{code.name}")

        return HttpServer(
            self.requests.callers.handle,
            ServerLimits(
                max_connections=limits.max_connections,
                max_head_bytes=limits.max_head_bytes,
                max_body_bytes=limits.max_body_bytes,
                receive_s=limits.receive_s,
                send_s=limits.send_s,
                idle_s=limits.max_idle_s,
            ),
            refuse_incomplete,
            count,
        )

    async def _listen(self) -> None:
        """Open the three listening sockets."""
        listen = self.core.settings.listen
        host, port = _split(listen.entries)
        self._entry_server = EntryServer(host, port, DaemonEntryHandler(self))
        await self._entry_server.start()
        self.core.members.own.address = self._entry_server.address
        host, port = _split(listen.operators)
        await self._operators_server.start(host, port)
        host, port = _split(listen.callers)
        await self._callers_server.start(host, port)


def _split(address: str) -> tuple[str, int]:
    """Return the parts of a checked address."""
    split = split_address(address)
    assert split is not None
    return split
