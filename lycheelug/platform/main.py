"""The daemon for the users' platform: `python -m lycheelug.platform.main`.

It connects the job service to the platform's store, executors and hosts, and
serves callers, readiness probes and other daemons.

Exit codes: 0 after a graceful stop; 1 if the daemon can't listen on an
address; 2 if the settings are invalid.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.http import HttpServer
from lycheelug.jobservice.clock import Clock
from lycheelug.jobservice.context import LEASE_S
from lycheelug.jobservice.executor_list import ExecutorList
from lycheelug.jobservice.load_monitor import LoadMonitor
from lycheelug.jobservice.service import JobService
from lycheelug.logs import log_change, set_up_stdout_logs
from lycheelug.ownership import duty_weight
from lycheelug.platform.config import OPERATOR_TABLE
from lycheelug.platform.events import PlatformEvents
from lycheelug.platform.executors import EXECUTORS_TABLE, PlatformExecutors
from lycheelug.platform.hosts import PlatformHosts
from lycheelug.platform.ingress import Ingress
from lycheelug.platform.probes import ProbeHandler
from lycheelug.platform.settings import SETTINGS_VARIABLE, read_settings
from lycheelug.platform.store import PlatformRows
from lycheelug.platform.where import WhereHandler
from lycheelug.relay import (
    CountForwarder,
    PlacementForwarder,
    RelayedRows,
    RelayServer,
    SubmissionForwarder,
)
from lycheelug.store.replica import FEED_WAIT_S, TableReplica
from lycheelug.store.traffic import StoreTraffic
from lycheelug.supervision import supervise
from lycheelug.tenants import KeyGate
from lycheelug.workloads.held_memory import job_memory_bytes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lycheelug.platform.settings import PlatformSettings

__all__ = ["main"]

EXIT_DONE: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

# The number of net new container objects that triggers a collection of the
# youngest generation of the garbage collector.
GC_THRESHOLD: Final = 20_000
# The daemon reports not ready after the store has failed for this long,
# because callers are better served by a daemon that can reach the store.
STORE_UNREADY_S: Final = 0.5
# Callers are rejected immediately if no store call has succeeded for this
# long.  The heartbeat is written every 0.4 s, so it detects when the store can
# be reached again.
STORE_UNREACHABLE_S: Final = 0.4
# After SIGTERM callers are served for at least this long, until the platform
# has noticed that this daemon is not ready (two failed probes, one second
# apart).
READINESS_NOTICE_S: Final = 2.5
# The part of the grace period that is reserved for the process to exit.
GRACE_MARGIN_S: Final = 1.0
# A caller's connection is closed only after it was idle for this long,
# because a new request may otherwise be in flight.
IDLE_CONNECTION_S: Final = 0.5
IDLE_POLL_S: Final = 0.02
# How long a feed call waits for a new configuration if keys are served only on
# recent knowledge, which then outlasts a call without an answer.
STRICT_WAIT_S: Final = 1.0


def main() -> None:
    """Run the daemon until it receives a stop signal."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    result = read_settings(path)
    if isinstance(result, Failure):
        sys.stderr.write(f"lycheelug: {result.failure()}\n")
        raise SystemExit(EXIT_USAGE)
    settings = result.unwrap()
    set_up_stdout_logs(settings.node_name)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    raise SystemExit(asyncio.run(PlatformDaemon(settings).run()))


class PlatformDaemon:
    """The job service, connected to the platform's interfaces."""

    __slots__ = (
        "_callers",
        "_clock",
        "_counts",
        "_executor_list",
        "_forwarder",
        "_gate",
        "_load_monitor",
        "_operator_replica",
        "_placements",
        "_probes",
        "_relay",
        "_service",
        "_settings",
        "_stopping",
        "_store",
        "_tasks",
    )

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        clock = Clock()
        self._clock = clock
        traffic = StoreTraffic()
        direct_rows = PlatformRows(settings.platform.address, traffic)
        self._store = RelayedRows(direct_rows, self._peers, clock.now)
        capacity = settings.limits
        memory, descriptors = capacity.memory_bytes, capacity.max_fds
        self._relay = RelayServer(
            self._store.rows_for_peers,
            settings.client_limits.for_peers(memory, descriptors),
            self._count_refused,
        )
        self._forwarder = SubmissionForwarder(clock.now)
        self._counts = CountForwarder()
        self._placements = PlacementForwarder()
        self._service = JobService(
            settings.node_name,
            settings.zone,
            self._store,
            PlatformExecutors(settings.hint),
            PlatformHosts(
                settings.cloud_api.address,
                self._store,
                traffic,
                settings.bounds.require_fencing,
            ),
            clock,
            min(LEASE_S, settings.bounds.hold_max_ms / 1000),
            settings.bounds.maintenance_s,
            self._is_store_unreachable,
            self._forwarder.submit,
            duty_weight(
                settings.limits.cpu_share * settings.limits.cores,
                settings.limits.link_mbps,
            ),
            self._counts.count,
            settings.job_limits,
            keeps_apart=settings.keeps_tasks_apart,
            locate_remote=self._placements.ask,
            overload=settings.overload_policy,
            policies=settings.plan_policies,
            lease_max_s=settings.bounds.hold_max_ms / 1000,
            job_memory_bytes=job_memory_bytes(memory),
        )
        self._relay.accept_submission = self._service.submit_locally
        self._relay.count_waiting = self._service.count_locally
        queries = self._service.placement_queries
        self._relay.locate_job = queries.answer_locally
        events = PlatformEvents(self._service)
        self._load_monitor = LoadMonitor(
            traffic,
            self._service.metrics,
            lambda: sorted(self._service.duties.held),
        )
        key_check = settings.key_check()
        is_strict = key_check is not None and key_check.is_strict
        self._operator_replica = TableReplica(
            self._store,
            OPERATOR_TABLE,
            events.on_operator_row,
            part="",
            wait_s=STRICT_WAIT_S if is_strict else FEED_WAIT_S,
            now=clock.now,
        )
        # None if calls carry no keys.
        self._gate: KeyGate | None = None
        if key_check is not None:
            self._gate = KeyGate(
                key_check,
                clock.now,
                lambda: self._operator_replica.complete_as_of,
                self._service.metrics,
            )
        ingress = Ingress(
            self._service, clock, settings.job_limits, self._gate
        )
        self._callers = HttpServer(
            ingress.handle,
            settings.client_limits.for_callers(memory, descriptors),
            on_refused=self._count_refused,
            name="callers",
        )
        where = WhereHandler(self._service, clock, settings)
        probes = ProbeHandler(self._is_ready, self._service.metrics, where)
        self._probes = HttpServer(
            probes.handle,
            settings.client_limits.for_probes(memory, descriptors),
            on_refused=self._count_refused,
            name="probes",
        )
        self._executor_list = ExecutorList(
            self._store,
            EXECUTORS_TABLE,
            events.on_executor_row,
            lambda: self._service.owns_pools,
        )
        self._service.follow_executors(self._executor_list)
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> int:
        """Serve until SIGTERM, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        addresses = self._settings.listen_addrs
        for server, field, address in (
            (self._callers, "frontend_addr", addresses.frontend_addr),
            (self._probes, "readiness_addr", addresses.readiness_addr),
        ):
            host, _, port = address.rpartition(":")
            try:
                await server.start(host, int(port))
            except OSError as error:
                log_change(
                    "cannot-listen",
                    setting=f"listen_addrs.{field}",
                    address=address,
                    error=str(error),
                )
                return EXIT_FAILED
        if not await self._start_relay():
            return EXIT_FAILED
        log_change(
            "started",
            zone=self._settings.zone,
            callers=f"{self._settings.ip}:{self._callers.port}",
            probes=f"{self._settings.ip}:{self._probes.port}",
            peers=self._relay_address(),
            store=self._settings.platform.address,
        )
        self._supervise(OPERATOR_TABLE, self._operator_replica.run)
        self._supervise(EXECUTORS_TABLE, self._executor_list.run)
        self._service.start(self._relay_address())
        self._supervise("load-monitor", self._load_monitor.run)
        await self._stopping.wait()
        return await self._stop()

    def _peers(self) -> list[str]:
        """Return the addresses of the other daemons.

        Until these were read, they are the seeds in the settings.
        """
        known = self._service.duties.peers()
        if known:
            return known
        return self._settings.seed_addresses(self._relay.port)

    def _is_store_unreachable(self) -> bool:
        """Return whether calls to the store fail, both direct and relayed."""
        since = self._store.failing_since
        return (
            since is not None
            and self._clock.now() - since > STORE_UNREACHABLE_S
        )

    def _relay_address(self) -> str:
        """Return this daemon's address for others; empty if it has none."""
        port = self._relay.port
        return f"{self._settings.ip}:{port}" if port else ""

    async def _start_relay(self) -> bool:
        """Listen for other daemons; return False if that fails.

        Without a configured address the daemon runs without a relay.
        """
        setting = "listen_addrs.control"
        address = self._settings.listen_addrs.control
        if not address and self._settings.internal_ports:
            setting = "internal_ports"
            port = self._settings.internal_ports[0]
            address = f"{self._settings.ip}:{port}"
        if not address:
            return True
        host, _, port_text = address.rpartition(":")
        try:
            await self._relay.start(host, int(port_text))
        except OSError as error:
            log_change(
                "cannot-listen",
                setting=setting,
                address=address,
                error=str(error),
            )
            return False
        return True

    def _supervise(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a background task until the daemon stops."""
        task = asyncio.get_running_loop().create_task(
            supervise(name, work, self._service.metrics)
        )
        self._tasks.append(task)

    async def _stop(self) -> int:
        """Hand over the duties, serve the remaining callers and stop."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        log_change("stopping", reason="signal")
        self._callers.announce_close = True
        await self._service.drain()
        await asyncio.sleep(max(0.0, began + READINESS_NOTICE_S - loop.time()))
        self._callers.stop_accepting()
        ends_at = began + self._settings.bounds.grace_s - GRACE_MARGIN_S
        while loop.time() < ends_at:
            if (
                self._callers.is_idle_for(IDLE_CONNECTION_S)
                and self._callers.close_idle()
            ):
                break
            await asyncio.sleep(IDLE_POLL_S)
        interrupted = self._callers.busy_connections
        self._callers.stop()
        self._probes.stop()
        await self._service.stop()
        await self._relay.stop()
        self._store.close()
        self._forwarder.close()
        self._counts.close()
        self._placements.close()
        for task in self._tasks:
            task.cancel()
        log_change("stopped", requests_cut=interrupted)
        return EXIT_DONE

    def _reload(self) -> None:
        """Check a changed settings file and log the result.

        The new settings only take effect at the next start.
        """
        path = os.environ.get(SETTINGS_VARIABLE, "")
        result = read_settings(path)
        if isinstance(result, Failure):
            log_change("settings-invalid", error=result.failure())
            return
        log_change("settings-reloaded")

    def _count_refused(self, reason: str) -> None:
        """Count a refused request or a connection that was closed."""
        self._service.metrics.count(f"refused-clients.{reason}")

    def _is_ready(self) -> bool:
        """Return whether this daemon can serve callers."""
        if self._stopping.is_set() or not self._service.is_configured:
            return False
        if self._gate is not None and not self._gate.can_verify():
            return False
        failing_since = self._store.failing_since
        if failing_since is None:
            return True
        return self._clock.now() - failing_since < STORE_UNREADY_S


if __name__ == "__main__":
    main()
