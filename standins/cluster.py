"""A small fleet in separate processes: platform, upstreams and daemons.

Tests, benchmarks and the demonstration use it.  All faults are set and
reset over HTTP.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec

from lycheelug.entries.join import remove_entry
from lycheelug.records import (
    EntryRow,
    HostRow,
    PoolRow,
    decode,
    encode,
    entry_key,
    host_key,
    pool_key,
)
from lycheelug.store import ABSENT, Guard, HostEntry, Transaction, Write
from lycheelug.store.codec import HostMessage, HostsMessage
from lycheelug.store.http import HttpPlatform
from standins.processes import ProcessGroup, http_call, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from lycheelug.http import Answer, RawHeaders
    from standins.processes import DaemonProcess, Program

__all__ = ["Cluster", "Reply"]


class Reply:
    """An answer as a caller reads it."""

    __slots__ = ("body", "headers", "outcome", "reason", "status")

    def __init__(self, answer: Answer) -> None:
        self.status = answer.status
        self.headers = dict(answer.headers)
        self.body = answer.body
        self.outcome = self.headers.get(b"lycheelug-outcome", b"").decode()
        self.reason = self.headers.get(b"lycheelug-reason", b"").decode()

    @property
    def echo(self) -> str:
        """The request body that the upstream repeated in its answer."""
        return str(msgspec.json.decode(self.body)["echo"])


class Cluster(ProcessGroup):
    """The processes of one test, connected by the stand-in platform."""

    __slots__ = ("_platform", "platform_arguments", "settings", "upstreams")

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self._platform: Program | None = None
        # Command-line arguments of the platform, such as "--reboot-s", "1".
        self.platform_arguments: tuple[str, ...] = ()
        self.upstreams: dict[str, Program] = {}
        # Settings common to all daemons.
        self.settings: dict[str, Any] = {
            "timing": {"grace_s": 10},
            "platform": {},
        }

    @property
    def platform(self) -> Program:
        """The process of the platform."""
        assert self._platform is not None
        return self._platform

    async def start_platform_and_pools(
        self, pools: dict[str, int], zone: str = "z1", slots: int = 8
    ) -> None:
        """Start the platform, unless it runs, and pools with upstreams."""
        if self._platform is None:
            arguments = self.platform_arguments
            self._platform = await self.start_platform(*arguments)
            self.settings["platform"] = {
                "binding": "http",
                "address": self._platform.address,
                "poll_s": 0.2,
            }
        entries: list[HostEntry] = []
        rows: list[Write] = []
        for pool, count in pools.items():
            rows.append(Write(pool_key(pool), encode(PoolRow(pool))))
            for index in range(count):
                name = f"{zone}-{pool}-{index}"
                upstream = await self.start_upstream(
                    name, "--slots", str(slots)
                )
                self.upstreams[name] = upstream
                rack = f"{zone}-r{index % 2}"
                entries.append(HostEntry(name, zone, rack, upstream.address))
                row = HostRow(name, zone, rack, pool, address=upstream.address)
                rows.append(Write(host_key(zone, name), encode(row)))
        await self.put_hosts(entries)
        if rows:
            await self.write_rows(rows)

    async def put_hosts(self, entries: list[HostEntry]) -> None:
        """Add hosts to the platform's list, or replace their entries."""
        message = HostsMessage([HostMessage.of(each) for each in entries], 0)
        await http_call(
            self.platform.address,
            "POST",
            "/hosts",
            msgspec.json.encode(message),
        )

    async def write_rows(self, writes: list[Write]) -> None:
        """Write rows; a host row must not exist yet, a pool row may."""
        platform = HttpPlatform(self.platform.address)
        guards: list[Guard] = []
        for write in writes:
            if write.key.startswith("host/"):
                guards.append(Guard(write.key, ABSENT))
        nonce = f"seed-{writes[0].key}"
        await platform.transact(Transaction(guards, writes, nonce))
        await platform.close()

    async def remove_entry(self, name: str) -> None:
        """Remove a daemon's entry row, as after the loss of its host."""
        platform = HttpPlatform(self.platform.address)
        row = (await platform.read(entry_key(name))).unwrap()
        assert row is not None
        assert row.value is not None
        entry = decode(row.value, EntryRow).unwrap()
        await remove_entry(platform, entry, random.Random(name))
        await platform.close()

    async def start_entry(
        self, name: str, zone: str = "z1", **settings: Any
    ) -> DaemonProcess:
        """Start an entry daemon with the running daemons as its seeds."""
        seeds: list[str] = []
        for daemon in self.daemons.values():
            if daemon.is_running:
                seeds.append(daemon.entries)
        wait = settings.pop("wait", True)
        content = {**self.settings, "zone": zone, "seeds": seeds, **settings}
        return await self.start_daemon(name, content, wait)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Replace the platform's faults; without arguments, end them."""
        await http_call(
            self.platform.address,
            "POST",
            "/faults",
            msgspec.json.encode(faults),
        )

    async def set_upstream_faults(self, name: str, **faults: Any) -> None:
        """Replace an upstream's faults; without arguments, end them."""
        await http_call(
            self.upstreams[name].address,
            "POST",
            "/-/faults",
            msgspec.json.encode(faults),
        )

    async def set_all_upstream_faults(self, **faults: Any) -> None:
        """Replace the faults of all upstreams."""
        for name in self.upstreams:
            await self.set_upstream_faults(name, **faults)

    async def run_counts(self) -> Counter[str]:
        """Return how often the upstreams ran a request, by its body."""
        return Counter(each["body"] for each in await self.runs())

    async def rows(self, prefix: str) -> list[str]:
        """Return the keys in the platform's table that have a prefix."""
        platform = HttpPlatform(self.platform.address)
        delta = (await platform.read_since(prefix, 0)).unwrap()
        await platform.close()
        return [row.key for row in delta.rows if row.value is not None]

    async def request_count(self, name: str) -> int:
        """Return how many requests an upstream received, or 0 if it ended."""
        upstream = self.upstreams[name]
        if not upstream.is_running:
            return 0
        answer = await http_call(upstream.address, "GET", "/-/seen")
        return int(msgspec.json.decode(answer.body))

    async def restart_upstream(self, name: str) -> None:
        """Start a killed upstream again at the same address."""
        port = self.upstreams[name].address.rpartition(":")[2]
        self.upstreams[name] = await self.start_upstream(name, "--port", port)

    async def runs(self) -> list[dict[str, str]]:
        """Return all requests that the running upstreams ran."""
        found: list[dict[str, str]] = []
        for upstream in self.upstreams.values():
            if not upstream.is_running:
                continue
            log = await http_call(upstream.address, "GET", "/-/log")
            found.extend(msgspec.json.decode(log.body))
        return found

    async def send_request(
        self,
        daemon: DaemonProcess,
        body: str,
        pool: str = "quotes",
        method: str = "POST",
        headers: RawHeaders | None = None,
    ) -> Reply:
        """Send a caller's request through a daemon."""
        all_headers = [
            (b"lycheelug-pool", pool.encode()),
            *(headers or []),
        ]
        answer = await http_call(
            daemon.callers, method, "/work", body.encode(), all_headers
        )
        return Reply(answer)

    async def wait_pools(self, daemon: DaemonProcess, count: int) -> None:
        """Wait until a daemon serves a number of pools."""

        async def has_pools() -> bool:
            return len(await daemon.get("/v1/pools")) == count

        await wait_until(has_pools)

    async def wait_limits(self, daemon: DaemonProcess, slots: int) -> None:
        """Wait until a daemon may use `slots` slots of every executor."""

        async def has_limit() -> bool:
            hosts = await daemon.get("/v1/hosts")
            return {each["limit"] for each in hosts} == {slots}

        await wait_until(has_limit)

    async def wait_members(self, daemon: DaemonProcess, alive: int) -> None:
        """Wait until a daemon sees a number of members alive.

        The number includes the daemon itself.
        """

        async def sees_members() -> bool:
            status = await daemon.get("/v1/status")
            states = [each["state"] for each in status["members"]]
            return states.count("alive") == alive

        await wait_until(sees_members)
