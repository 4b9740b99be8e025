"""Measures the time until an accepted configuration is active everywhere.

Starts entry daemons in one process, on loopback, with the in-memory
platform, and submits changes in sequence through a random daemon.  With
`--platform-down`, the platform is unreachable from each acceptance until
the change is active on all daemons.  With `--poll-only`, the submitter
neither applies nor propagates the change, as if it had crashed after the
acceptance; with `--gossip-only`, the submitter applies the change without
propagating it, and no daemon polls.  `--idle` measures bytes and processor
time of gossip and polling instead.

    python -m bench.config_in_force --changes 200
    python -m bench.config_in_force --changes 200 --platform-down
    python -m bench.config_in_force --changes 20 --poll-only
    python -m bench.config_in_force --changes 20 --gossip-only
    python -m bench.config_in_force --idle 30 --daemons 9 --zones 5
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result

from lycheelug.config_exchange import ConfigExchange
from lycheelug.config_outcome import Accepted
from lycheelug.config_submitter import ConfigSubmitter
from lycheelug.configuration import ConfigState, new_nonce
from lycheelug.entries.client import EntryClients
from lycheelug.entries.gossip import Gossip
from lycheelug.entries.join import join
from lycheelug.entries.messages import (
    ConfigAnswer,
    ConfigPush,
    Digest,
    PoolLoad,
    ViewReply,
    ViewRequest,
)
from lycheelug.entries.service import EntryHandler, EntryServer
from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.fleet_view import FleetView
from lycheelug.membership import Members, new_run
from lycheelug.records import CONFIG_KEY, EntryRow
from lycheelug.store.memory import MemoryPlatform
from lycheelug.store.watch import Watch

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.configuration import Configuration
    from lycheelug.store.interface import (
        Commit,
        Conflict,
        Delta,
        HostEntry,
        Row,
        Transaction,
    )

IN_FORCE_LIMIT_S = 30.0
POOLS = 57
BODY_BYTES = 4096


class BenchPlatform(MemoryPlatform):
    """A platform that can become unreachable after an acceptance."""

    def __init__(self) -> None:
        super().__init__()
        self.is_unreachable = False
        self.fails_after_acceptance = False

    async def read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        """Answer, unless unreachable."""
        if self.is_unreachable:
            return self._unreachable()
        return await super().read_since(prefix, revision)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        """Answer, unless unreachable."""
        if self.is_unreachable:
            return self._unreachable()
        answer = await super().transact(transaction)
        keys = {write.key for write in transaction.writes}
        if self.fails_after_acceptance and CONFIG_KEY in keys:
            self.is_unreachable = True
        return answer

    def _unreachable(self) -> Failure[Fault]:
        return Failure(Fault(PLATFORM_UNREACHABLE, Step.READ, Peer.PLATFORM))


class Forwarder:
    """Forwards connections to one daemon and counts their bytes."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.bytes = 0
        self.address = ""

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        target = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._copy(reader, target[1]), self._copy(target[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


class SuppressibleExchange(ConfigExchange):
    """An exchange that can skip propagation, like a crashed daemon."""

    is_suppressed = False
    applies_when_suppressed = False

    async def propagate(self, configuration: Configuration) -> list[str]:
        """Propagate a configuration, unless suppressed."""
        if self.is_suppressed and self.applies_when_suppressed:
            self._apply(configuration)
        if self.is_suppressed:
            return []
        return await super().propagate(configuration)


class Daemon(EntryHandler):
    """The parts of an entry daemon that exchange configurations."""

    def __init__(
        self, number: int, zone: str, platform: BenchPlatform
    ) -> None:
        self.name = f"entry-{number}"
        self.zone = zone
        self.platform = platform
        self.rng = random.Random(number)
        self.server = EntryServer("127.0.0.1", 0, self)
        self.applied_at: dict[int, float] = {}
        self.forwarder: Forwarder | None = None
        self.members: Members

    async def start(self, seeds: Sequence[str], counted: bool) -> str:
        """Start all parts, join the fleet and return the address."""
        await self.server.start()
        address = self.server.address
        if counted:
            self.forwarder = Forwarder(address)
            await self.forwarder.start()
            address = self.forwarder.address
        run = new_run(time.time(), self.rng)
        own = Digest(
            self.name, self.zone, run, 0, address, "ready", 0, 0, [], [], []
        )
        self.members = Members(own, seeds)
        self.clients = EntryClients()
        self.configs = SuppressibleExchange(
            self.members, self.clients, ConfigState(lambda _: ""), self._apply
        )
        self.submitter = ConfigSubmitter(
            self.platform, self.configs, time.monotonic, self.rng
        )
        self.gossip = Gossip(
            self.members,
            self.clients,
            self._publish,
            time.monotonic,
            self.rng,
            on_change=self.configs.on_digests,
        )
        self.view = FleetView(self.zone)
        self.watch = Watch(
            self.platform, self.view, self.rng, self._on_rows, self._on_hosts
        )
        entry = EntryRow(self.name, self.zone, address, run)
        revision = (await join(self.platform, entry, self.rng)).unwrap()
        await self.watch.poll_until(revision)
        return address

    async def stop(self) -> None:
        """Stop all parts."""
        await self.watch.stop()
        await self.gossip.stop()
        await self.configs.stop()
        self.clients.close()
        await self.server.stop()

    async def exchange(self, digests: Sequence[Digest]) -> list[Digest]:
        """Answer an exchange of digests."""
        return self.gossip.answer(digests)

    async def fetch_view(self, request: ViewRequest) -> ViewReply:
        """Return rows of the view."""
        return self.view.rows_since(request.zone, request.revision)

    async def push_config(self, push: ConfigPush) -> ConfigAnswer:
        """Answer a pushed configuration."""
        return self.configs.answer(push)

    async def leave(self, digest: Digest) -> None:
        """Record that a daemon leaves."""
        self.members.on_leave(digest, time.monotonic())

    def _apply(self, configuration: Configuration) -> None:
        self.applied_at[configuration.revision] = time.monotonic()

    def _publish(self) -> None:
        loads = []
        for number in range(POOLS):
            queued = self.rng.randrange(9)
            loads.append(PoolLoad(f"pool-{number}", queued, 4, 4))
        self.members.publish(
            "ready",
            self.view.revision,
            self.configs.accepted.revision,
            loads,
            [],
            [],
        )

    def _on_rows(self, rows: Sequence[Row]) -> None:
        self.configs.on_rows(rows)

    def _on_hosts(self, hosts: Sequence[HostEntry]) -> None:
        for host in hosts:
            self.members.apply_host(host)


async def start_fleet(
    options: argparse.Namespace, counted: bool
) -> tuple[BenchPlatform, list[Daemon]]:
    """Start the daemons and wait until each sees all others alive."""
    platform = BenchPlatform()
    daemons = []
    seeds: list[str] = []
    for number in range(options.daemons):
        zone = f"zone-{number % options.zones}"
        daemon = Daemon(number, zone, platform)
        seeds.append(await daemon.start(seeds[:1], counted))
        daemons.append(daemon)
    while True:
        for daemon in daemons:
            await daemon.gossip.run_round(0)
        alive_counts = [
            len(d.members.alive(time.monotonic())) for d in daemons
        ]
        if min(alive_counts) == options.daemons - 1:
            break
    for daemon in daemons:
        daemon.gossip.start()
        if not options.gossip_only:
            daemon.watch.start()
    return platform, daemons


async def measure_changes(options: argparse.Namespace) -> None:
    """Submit changes in sequence and print the times until active."""
    platform, daemons = await start_fleet(options, counted=False)
    platform.fails_after_acceptance = options.platform_down
    rng = random.Random(1)
    times = []
    accepted_times = []
    for number in range(options.changes):
        submitter = rng.choice(daemons)
        submitter.configs.is_suppressed = (
            options.poll_only or options.gossip_only
        )
        submitter.configs.applies_when_suppressed = options.gossip_only
        body = b"%04d" % number + b" " * BODY_BYTES
        started = time.monotonic()
        outcome = await submitter.submitter.submit(
            new_nonce(time.time(), rng), body
        )
        accepted_times.append(time.monotonic() - started)
        if not isinstance(outcome, Accepted):
            raise SystemExit(f"change {number}: {outcome}")
        submitter.configs.is_suppressed = False
        times.append(await _in_force(daemons, outcome.revision, started))
        platform.is_unreachable = False
    for daemon in daemons:
        await daemon.stop()
    _print("until accepted", accepted_times)
    _print("until in force everywhere", times)


async def _in_force(
    daemons: Sequence[Daemon], revision: int, started: float
) -> float:
    """Wait until all daemons have a revision; return the time taken."""
    while time.monotonic() - started < IN_FORCE_LIMIT_S:
        lagging = [
            daemon
            for daemon in daemons
            if daemon.configs.accepted.revision < revision
        ]
        if not lagging:
            last = max(daemon.applied_at[revision] for daemon in daemons)
            return last - started
        await asyncio.sleep(0.002)
    raise SystemExit(f"revision {revision} is not in force everywhere")


def _print(what: str, seconds: list[float]) -> None:
    ordered = sorted(seconds)
    half = ordered[len(ordered) // 2]
    p99 = ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)]
    print(
        f"{what}: {len(ordered)} changes, median {half * 1000:.1f} ms,"
        f" 99 % {p99 * 1000:.1f} ms, longest {ordered[-1] * 1000:.1f} ms"
    )


async def measure_idle(options: argparse.Namespace) -> None:
    """Print the bytes, then the processor time, of idle daemons."""
    for counted in (True, False):
        _, daemons = await start_fleet(options, counted)
        await asyncio.sleep(3)
        before = [_bytes(daemon) for daemon in daemons]
        rounds = sum(d.gossip.counters.completed for d in daemons)
        cpu = time.process_time()
        started = time.monotonic()
        await asyncio.sleep(options.idle)
        elapsed = time.monotonic() - started
        cpu = time.process_time() - cpu
        total = sum(_bytes(daemon) for daemon in daemons) - sum(before)
        rounds = sum(d.gossip.counters.completed for d in daemons) - rounds
        count = len(daemons)
        if counted:
            print(
                f"gossip: {rounds / elapsed / count:.2f} exchanges/s and"
                f" {total / elapsed / count:.0f} B/s sent by a daemon,"
                f" {total / max(rounds, 1):.0f} B an exchange"
            )
        else:
            share = cpu / elapsed / count * 100
            print(f"gossip and polling: {share:.2f} % of a core a daemon")
        for daemon in daemons:
            await daemon.stop()


def _bytes(daemon: Daemon) -> int:
    return daemon.forwarder.bytes if daemon.forwarder else 0


def _options() -> Any:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=8)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--platform-down", action="store_true")
    parser.add_argument("--poll-only", action="store_true")
    parser.add_argument("--gossip-only", action="store_true")
    parser.add_argument("--idle", type=float, default=0.0)
    return parser.parse_args()


def main() -> None:
    """Run one measurement."""
    options = _options()
    if options.idle:
        asyncio.run(measure_idle(options))
    else:
        asyncio.run(measure_changes(options))


if __name__ == "__main__":
    main()
