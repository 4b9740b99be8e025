"""One entry daemon: its parts, how they are joined, and its life.

Phases: starting (listens, answers not ready), ready, draining (takes no
new request, finishes all in flight) and stopped.  All parts run on one
event loop; this module owns them and passes changes between them.
"""

from __future__ import annotations

import asyncio
import random
import time
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.callers.answers import refuse_unread
from lycheelug.callers.keyed import KeyedRequests
from lycheelug.callers.long_work import LongWork
from lycheelug.callers.service import CallerService
from lycheelug.claims import SWEEP_PERIOD_S, ClaimBook, IssuedKeys
from lycheelug.embedded import fill_embedded
from lycheelug.entries.client import EntryClients
from lycheelug.entries.gossip import Gossip
from lycheelug.entries.messages import Digest, PoolLoad
from lycheelug.entries.refresh import Refresh
from lycheelug.entries.service import EntryServer
from lycheelug.entry_service import DaemonEntryHandler
from lycheelug.fleet_view import FleetView
from lycheelug.freshness import FreshnessGate
from lycheelug.http import HttpServer, ServerLimits
from lycheelug.job_runner import JobRunner
from lycheelug.jobs import JobBook
from lycheelug.leaving import LeavingHosts, LeavingSign
from lycheelug.logs import log_change
from lycheelug.member import Thresholds, new_run
from lycheelug.membership import Members
from lycheelug.metrics import Metrics
from lycheelug.operators.server import OperatorService
from lycheelug.plan_loop import PlanLoop
from lycheelug.platform import BINDINGS, HostState
from lycheelug.platform.watch import Watch
from lycheelug.pools import PoolTable
from lycheelug.records import ENTRY_PREFIX, EntryRow, decode
from lycheelug.retries import RetryBudget
from lycheelug.runner import RequestRunner
from lycheelug.settings_schema import split_address
from lycheelug.startup import (
    enter_fleet,
    join_later,
    leave_fleet,
    peer_clients,
)
from lycheelug.upstreams.exchange import Upstreams

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.errors import ErrorCode
    from lycheelug.platform import HostEntry, Row
    from lycheelug.records import HostRow
    from lycheelug.settings import Settings

__all__ = ["Daemon", "Phase"]

TICK_S: Final = 0.1
DRAIN_POLL_S: Final = 0.02
JOBS_SETTLE_S: Final = 2.0


class Phase(StrEnum):
    """Where a daemon stands in its life."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Daemon:
    """One entry daemon."""

    __slots__ = (
        "_callers_server",
        "_entry_server",
        "_join_task",
        "_operators_server",
        "_seen",
        "_started_at",
        "_sweep_task",
        "_tick_task",
        "callers",
        "claims",
        "clients",
        "gate",
        "gossip",
        "job_runner",
        "jobs",
        "join_revision",
        "keyed",
        "leaving",
        "long_work",
        "members",
        "metrics",
        "phase",
        "plan",
        "platform",
        "pools",
        "rng",
        "run_id",
        "runner",
        "settings",
        "upstreams",
        "view",
        "watch",
    )

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.run_id = new_run(time.time(), rng)
        # The table's revision at which this run joined; 0 before.
        self.join_revision = 0
        self.phase = Phase.STARTING
        self.metrics = Metrics()
        self.platform = BINDINGS.get(settings.platform.binding)(
            settings.platform.address
        )
        self.view = FleetView(settings.zone)
        self.leaving = LeavingHosts()
        self.pools = PoolTable(settings, self.leaving, rng, time.monotonic)
        self.gate = FreshnessGate(self._refresh)
        self.upstreams = Upstreams(
            settings.upstreams, settings.limits.max_answer_bytes
        )
        self.runner = RequestRunner(
            self.upstreams,
            RetryBudget(ratio=settings.upstreams.retry_share),
            settings.upstreams.max_tries,
            self.metrics,
            self.gate,
            time.monotonic,
        )
        self.claims = ClaimBook(
            self.platform,
            settings.name,
            self.run_id,
            time.time,
            rng,
            settings.timing.claim_retention_s,
        )
        self.keyed = KeyedRequests(
            self.claims,
            IssuedKeys(settings.name, self.run_id, random.SystemRandom()),
            self.metrics,
            time.time,
        )
        self.jobs = JobBook(
            self.platform,
            settings.name,
            self.run_id,
            time.time,
            random.SystemRandom(),
        )
        self.long_work = LongWork(self.jobs, self.metrics, time.time)
        self.job_runner = JobRunner(
            self.platform,
            self.jobs,
            self.pools,
            self.runner,
            self.metrics,
            self._may_claim_jobs,
            self._drives_plan,
            time.monotonic,
            time.time,
        )
        self.long_work.on_submitted = self.job_runner.look_soon
        self.callers = CallerService(
            settings,
            self.run_id,
            self.pools,
            self.runner,
            self.keyed,
            self.long_work,
            self.metrics,
            self._is_ready,
            time.monotonic,
        )
        self.members = Members(
            self._first_digest(), settings.seeds, self._thresholds()
        )
        self.clients = EntryClients()
        self.gossip = Gossip(
            self.members,
            self.clients,
            self.publish,
            time.monotonic,
            rng,
            on_change=self._on_digests,
        )
        self.watch = Watch(
            self.platform,
            self.view,
            rng,
            self.on_rows,
            self._on_entry_hosts,
            period_s=settings.platform.poll_s,
        )
        self.plan = PlanLoop(
            self.platform,
            settings.name,
            self.run_id,
            rng,
            self.members.known_digests,
            self._drives_plan,
        )
        self._callers_server = self._make_callers_server()
        self._operators_server = HttpServer(
            OperatorService(self, settings.operator_token).handle
        )
        self._entry_server: EntryServer | None = None
        self._tick_task: asyncio.Task[None] | None = None
        self._join_task: asyncio.Task[None] | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._started_at = time.monotonic()
        # Revisions of table and host list that the pools were built from.
        self._seen = (-1, -1)

    @property
    def uptime_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    @property
    def connections(self) -> int:
        """Callers' connections."""
        return self._callers_server.connections

    @property
    def in_flight(self) -> int:
        """Requests in progress, with or without their caller."""
        asked = max(self.callers.in_flight, self.keyed.running)
        return asked + self.job_runner.running

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
        await fill_embedded(self.platform, self.settings)
        self._tick_task = asyncio.create_task(self._run_ticks())
        await enter_fleet(self)
        self._sweep_task = asyncio.create_task(self._run_sweeps())
        self.watch.start()
        self.gossip.start()
        self.plan.start()
        self.job_runner.start()
        self.sync_pools()
        self._set_phase(Phase.READY)
        callers, operators, entries = self.ports
        log_change(
            "listening", callers=callers, operators=operators, entries=entries
        )

    async def drain(self) -> int:
        """Finish all requests in flight; return how many were cut."""
        self.job_runner.stop_claiming()
        self._set_phase(Phase.DRAINING)
        await self.gossip.leave()
        self._callers_server.stop_accepting()
        deadline = time.monotonic() + self.settings.timing.grace_s
        while True:
            if not self._is_busy() or time.monotonic() >= deadline:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        await self._settle(max(0.0, deadline - time.monotonic()))
        return self.in_flight

    async def stop(self) -> None:
        """Close everything."""
        await self.job_runner.stop()
        await self.plan.stop()
        await self.gossip.stop()
        await self.watch.stop()
        await leave_fleet(self)
        for task in (self._tick_task, self._join_task, self._sweep_task):
            if task is not None:
                task.cancel()
        self._callers_server.stop()
        self._operators_server.stop()
        if self._entry_server is not None:
            await self._entry_server.stop()
        await self._settle(JOBS_SETTLE_S)
        await self.claims.close()
        await self.jobs.close()
        self.clients.close()
        self.upstreams.close()
        await self.platform.close()
        self._set_phase(Phase.STOPPED)

    def keep_joining(self) -> None:
        """Go on trying to join while the view is a peer's."""
        self._join_task = asyncio.create_task(join_later(self))

    def _is_busy(self) -> bool:
        """Whether a request is in progress."""
        return bool(self._callers_server.busy_connections or self.in_flight)

    async def _settle(self, timeout_s: float) -> None:
        """Hand back and record what the platform has not taken yet."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.claims.flush()
                await self.jobs.flush()
        except TimeoutError:
            pending = self.claims.pending + self.jobs.pending
            log_change("not settled", pending=pending)

    # --- Changes between the parts.

    def publish(self) -> Digest:
        """Renew the own digest: view, load and what was seen to leave."""
        self.sync_pools()
        loads: list[PoolLoad] = []
        for scheduler in self.pools.all():
            executors = scheduler.executors
            loads.append(
                PoolLoad(
                    executors.pool,
                    scheduler.queued,
                    executors.in_flight,
                    executors.idle,
                )
            )
        busy: list[str] = []
        for host in self.view.draining_hosts():
            if self.pools.in_flight_on(host.name):
                busy.append(host.name)
        return self.members.publish(
            self.phase.value,
            self.view.revision,
            self.config_revision,
            loads,
            busy,
            self.leaving.to_tell(time.monotonic()),
        )

    @property
    def config_revision(self) -> int:
        """The revision of the configuration in force."""
        return 0

    def sync_pools(self) -> None:
        """Bring the pools up to the view."""
        seen = (self.view.revision, self.view.host_list_revision)
        if seen == self._seen:
            return
        if seen[1] != self._seen[1]:
            self._note_listed()
        self._seen = seen
        for name, row in self.view.pools.items():
            self.pools.update_pool(row, self._executor_rows(name))
        for name in self.pools.names:
            if name not in self.view.pools:
                self.pools.drop_pool(name)
        self._update_shares()

    def _executor_rows(self, pool: str) -> list[HostRow]:
        """Return a pool's hosts with the addresses to connect to."""
        rows: list[HostRow] = []
        for row in self.view.executors(pool):
            address = self.view.address(row.name)
            if not address:
                continue
            rows.append(msgspec.structs.replace(row, address=address))
        return rows

    def _note_listed(self) -> None:
        """Take in what the platform's list says of the zone's hosts."""
        now = time.monotonic()
        revision = self.view.host_list_revision
        for name in self.view.hosts:
            state = self.view.listed_state(name)
            if state is HostState.LIVE:
                self.leaving.note_live(name, revision, now)
            elif state is not None:
                self.leaving.note(name, LeavingSign.LISTED, now, revision)

    def _update_shares(self) -> None:
        """Divide slots between the live daemons of the zone."""
        now = time.monotonic()
        peers: list[Digest] = []
        for digest in self.members.alive(now):
            same_zone = digest.zone == self.settings.zone
            if same_zone and digest.state == Phase.READY:
                peers.append(digest)
        self.pools.update_shares(self.settings.name, peers, lambda _name: now)

    def on_rows(self, rows: Sequence[Row]) -> None:
        """Take in changed rows of the table."""
        now = time.monotonic()
        for row in rows:
            if not row.key.startswith(ENTRY_PREFIX):
                continue
            name = row.key.removeprefix(ENTRY_PREFIX)
            entry = decode(row.value, EntryRow) if row.value else None
            self.members.apply_row(name, entry, now)
        self.sync_pools()

    def _on_entry_hosts(self, hosts: Sequence[HostEntry]) -> None:
        """Take in entry hosts of the platform's list."""
        for host in hosts:
            self.members.apply_host(host)

    def _on_digests(self, names: Sequence[str]) -> None:
        """Take in newer digests of other daemons."""
        now = time.monotonic()
        for name in names:
            digest = self.members.digest(name)
            if digest is None:
                continue
            for host in digest.leaving:
                self.leaving.note(
                    host, LeavingSign.TOLD, now, teller=digest.name
                )
        self._update_shares()

    async def _run_ticks(self) -> None:
        """Do what time alone asks for."""
        while True:
            await asyncio.sleep(TICK_S)
            self.gate.tick()
            self.sync_pools()
            self.pools.tick()

    async def _run_sweeps(self) -> None:
        """Delete old claims, a part at a time."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            await self.claims.sweep(time.time())
            await self.jobs.sweep(time.time())

    async def _refresh(self) -> bool:
        """Bring the view up to date after a pause of this process."""
        refresh = Refresh(
            self.platform,
            self.view,
            self.watch,
            self.members,
            self.gate.pauses,
            self.rng,
            self.on_rows,
        )
        return await refresh.run(self.join_revision, peer_clients(self))

    # --- Construction.

    def _drives_plan(self) -> bool:
        """Whether this daemon's name is the first of those it hears."""
        if self.phase is not Phase.READY or self.gate.pauses.is_stale:
            return False
        for digest in self.members.alive(time.monotonic()):
            ready = digest.state == Phase.READY
            if ready and digest.name < self.settings.name:
                return False
        return True

    def _may_claim_jobs(self) -> bool:
        """Whether this run has joined, and serves by a fresh view."""
        joined = self.join_revision > 0 and self.phase is Phase.READY
        return joined and not self.gate.pauses.is_stale

    def _is_ready(self) -> bool:
        """Whether callers' requests are served."""
        return self.phase in {Phase.READY, Phase.DRAINING}

    def _set_phase(self, phase: Phase) -> None:
        """Enter a phase, and log it."""
        self.phase = phase
        log_change("phase", phase=phase.value, run=self.run_id)

    def _first_digest(self) -> Digest:
        """Return the digest of a daemon that knows nothing yet."""
        return Digest(
            name=self.settings.name,
            zone=self.settings.zone,
            run=self.run_id,
            sequence=0,
            address=self.settings.listen.entries,
            state=Phase.STARTING.value,
            table_revision=0,
            config_revision=0,
            loads=[],
            busy_draining=[],
            leaving=[],
        )

    def _thresholds(self) -> Thresholds:
        """Return when a silent daemon counts as gone."""
        return Thresholds()

    def _make_callers_server(self) -> HttpServer:
        """Return the server for callers, not listening yet."""
        limits = self.settings.limits

        def count(code: ErrorCode) -> None:
            self.metrics.count(f"unread.{code.name}")

        return HttpServer(
            self.callers.handle,
            ServerLimits(
                max_connections=limits.max_connections,
                max_head_bytes=limits.max_head_bytes,
                max_body_bytes=limits.max_body_bytes,
                receive_s=limits.receive_s,
                send_s=limits.send_s,
                idle_s=limits.max_idle_s,
            ),
            refuse_unread,
            count,
        )

    async def _listen(self) -> None:
        """Open the three listening sockets."""
        listen = self.settings.listen
        host, port = _split(listen.entries)
        self._entry_server = EntryServer(host, port, DaemonEntryHandler(self))
        await self._entry_server.start()
        self.members.own.address = self._entry_server.address
        host, port = _split(listen.operators)
        await self._operators_server.start(host, port)
        host, port = _split(listen.callers)
        await self._callers_server.start(host, port)


def _split(address: str) -> tuple[str, int]:
    """Return the parts of a checked address."""
    split = split_address(address)
    assert split is not None
    return split
