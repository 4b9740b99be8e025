"""Measures how memory and processor time grow with the fleet's size.

Run with `python -m bench.slopes` (or `make slopes`); docs/CAPACITY.md uses
the results.  Each part of the daemon's state is built in this process at
three or more sizes, from the code that the daemon runs.  The slope is that
of a least-squares line through the sizes.
"""

from __future__ import annotations

import gc
import random
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.core import Core
from lycheelug.entries.messages import Digest, DigestList, PoolLoad
from lycheelug.fleet import FleetSnapshot
from lycheelug.fleet_view import FleetView
from lycheelug.metrics import Metrics
from lycheelug.records import HostRow, PoolRow, encode, host_key, pool_key
from lycheelug.settings import Settings
from lycheelug.store import Delta, HostDelta, HostEntry, Row

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["main", "measure_kib", "slope"]

ZONES: Final = 5
REPEATS: Final = 20
KIBIBYTE: Final = 1024
ZONE_HOSTS: Final = (65, 130, 260, 520)
FLEET_HOSTS: Final = (325, 650, 1300, 2600)
POOLS: Final = (14, 28, 57, 114)
TENANTS: Final = (11, 21, 42, 84)
DAEMONS: Final = (9, 18, 36, 45)


class Sample:
    """The measurements at one size."""

    __slots__ = ("cpu_ms", "kib", "size")

    def __init__(self, size: int, kib: float, cpu_ms: float) -> None:
        self.size = size
        self.kib = kib
        self.cpu_ms = cpu_ms


def _measure(
    size: int,
    build: Callable[[int], object],
    operation: Callable[[object], object],
) -> Sample:
    """Return the memory of the built object and the time of an operation."""
    built, kib = measure_kib(build, size)
    lowest_ms = float("inf")
    for _ in range(REPEATS):
        started = time.process_time_ns()
        operation(built)
        lowest_ms = min(lowest_ms, (time.process_time_ns() - started) / 1e6)
    return Sample(size, kib, lowest_ms)


def measure_kib(
    build: Callable[[int], object], size: int
) -> tuple[object, float]:
    """Return a built object, and how much memory it holds in KiB."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build(size)
    gc.collect()
    kib = (tracemalloc.get_traced_memory()[0] - before) / KIBIBYTE
    tracemalloc.stop()
    return built, kib


def slope(xs: Sequence[float], ys: Sequence[float]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    numerator = 0.0
    denominator = 0.0
    for x, y in zip(xs, ys, strict=True):
        numerator += (x - mean_x) * (y - mean_y)
        denominator += (x - mean_x) ** 2
    return numerator / denominator


def _print(name: str, unit: str, samples: list[Sample]) -> None:
    """Print the samples and the slopes of one part."""
    sys.stdout.write(f"\n{name}\n")
    for each in samples:
        sys.stdout.write(
            f"  {each.size:6d} {unit:8} {each.kib:10.1f} KiB "
            f"{each.cpu_ms:10.3f} ms\n"
        )
    sizes = [float(each.size) for each in samples]
    kib = slope(sizes, [each.kib for each in samples])
    cpu = slope(sizes, [each.cpu_ms for each in samples])
    sys.stdout.write(
        f"  slope of one {unit}: {kib * KIBIBYTE:.0f} B, {cpu * 1000:.2f} us\n"
    )


def _host_row(number: int, pools: int, zone: str) -> HostRow:
    """Return the row of a host."""
    return HostRow(
        f"host-{number:05d}",
        zone,
        f"rack-{number // 4:04d}",
        f"pool-{number % pools:02d}",
        maintained_at=1_796_000_000.0,
    )


def _rows(hosts: int, pools: int, zones: int) -> list[Row]:
    """Return the rows of a fleet."""
    rows: list[Row] = []
    for number in range(pools):
        name = f"pool-{number:02d}"
        row = PoolRow(name, min_available=1)
        rows.append(Row(pool_key(name), encode(row), 1))
    for number in range(hosts):
        host = _host_row(number, pools, f"zone-{number % zones}")
        key = host_key(host.zone, host.name)
        rows.append(Row(key, encode(host), 2 + number))
    return rows


def _entries(hosts: int, zones: int) -> list[HostEntry]:
    """Return the host list of a fleet."""
    entries: list[HostEntry] = []
    for number in range(hosts):
        entries.append(
            HostEntry(
                f"host-{number:05d}",
                f"zone-{number % zones}",
                f"rack-{number // 4:04d}",
                f"10.{number >> 8}.{number & 255}.1:8000",
            )
        )
    return entries


def _view(hosts: int) -> FleetView:
    """Return a daemon's view of one zone."""
    view = FleetView("zone-0")
    rows = _rows(hosts, 57, 1)
    for prefix in view.prefixes:
        wanted = [row for row in rows if row.key.startswith(prefix)]
        view.apply(prefix, Delta(wanted, hosts + 2), is_snapshot=True)
    view.apply_hosts(HostDelta(_entries(hosts, 1), hosts))
    return view


def _change_one(view: object) -> None:
    """Apply one changed host and list a pool's executors again."""
    assert isinstance(view, FleetView)
    revision = view.revision + 1
    host = _host_row(0, 57, "zone-0")
    row = Row(host_key("zone-0", host.name), encode(host), revision)
    for prefix in view.prefixes:
        rows = [row] if row.key.startswith(prefix) else []
        view.apply(prefix, Delta(rows, revision))
    view.executors("pool-00")


def _snapshot(hosts: int) -> FleetSnapshot:
    """Return a plan driver's snapshot of the whole fleet."""
    snapshot = FleetSnapshot()
    snapshot.apply_rows(_rows(hosts, 57, ZONES), hosts + 2)
    snapshot.apply_hosts(HostDelta(_entries(hosts, ZONES), hosts))
    return snapshot


def _change_snapshot(snapshot: object) -> None:
    """Apply one changed host; bench/fleet.py measures the planning."""
    assert isinstance(snapshot, FleetSnapshot)
    revision = snapshot.table_revision + 1
    host = _host_row(0, 57, "zone-0")
    row = Row(host_key("zone-0", host.name), encode(host), revision)
    snapshot.apply_rows([row], revision)


def _digest(name: str, pools: int) -> Digest:
    """Return a daemon's digest with the load of each pool."""
    loads = [PoolLoad(f"pool-{n:02d}", 3, 17, 40) for n in range(pools)]
    return Digest(
        name,
        "zone-0",
        "01a23fc4b0f3-e328fb43",
        123_456,
        "10.0.0.1:8082",
        "ready",
        1_234_567,
        5_400,
        loads,
        [],
        [],
    )


def _exchange(digests: object) -> None:
    """Encode and decode a list of digests."""
    data = msgspec.msgpack.encode(digests)
    msgspec.msgpack.decode(data, type=DigestList)


def _metrics(tenants: int) -> Metrics:
    """Return the histograms of tenants, each with three classes."""
    metrics = Metrics()
    for number in range(tenants):
        for name in ("urgent", "short", "long"):
            metrics.record(f"team-{number}", name, 0.001, 0.01, 0.011)
    return metrics


def _settings() -> Settings:
    """Return settings for a core that is never started."""
    settings = Settings()
    settings.name = "e1"
    settings.zone = "zone-0"
    return settings


def _core(pools: int) -> Core:
    """Return a daemon's pools with five hosts each."""
    core = Core(_settings(), random.Random(1))
    for number in range(pools):
        name = f"pool-{number:02d}"
        hosts = []
        for index in range(5):
            host = _host_row(index, pools, "zone-0")
            host.name = f"{name}-{index}"
            host.address = "10.0.0.1:8000"
            hosts.append(host)
        core.pools.update_pool(PoolRow(name), hosts)
    core.pools.update_shares("e1", [])
    return core


def _tick(core: object) -> None:
    """Run the operation that the daemon runs ten times per second."""
    assert isinstance(core, Core)
    core.pools.tick()


def _members(daemons: int) -> Core:
    """Return a core with the digests of the daemons of its zone."""
    core = Core(_settings(), random.Random(1))
    digests = [_digest(f"d{n}", 57) for n in range(daemons)]
    core.members.merge(digests, 0.0)
    return core


def _merge(core: object) -> None:
    """Merge one newer digest."""
    assert isinstance(core, Core)
    digest = _digest("d0", 57)
    digest.sequence = time.monotonic_ns()
    core.members.merge([digest], 0.0)


def _print_digest_bytes() -> None:
    """Print the size of a digest by the number of pools."""
    sys.stdout.write("\ndigest on the wire\n")
    sizes = []
    for pools in POOLS:
        size = len(msgspec.msgpack.encode(_digest("e1", pools)))
        sizes.append(float(size))
        sys.stdout.write(f"  {pools:6d} pools    {size:10d} B\n")
    each_pool = slope([float(each) for each in POOLS], sizes)
    sys.stdout.write(f"  slope of one pool: {each_pool:.1f} B\n")


def _digests(count: int) -> DigestList:
    """Return the digests of daemons with 57 pools each."""
    return DigestList([_digest(f"d{n}", 57) for n in range(count)])


def _measure_all(
    sizes: Sequence[int],
    build: Callable[[int], object],
    operation: Callable[[object], object],
) -> list[Sample]:
    """Return the samples of a part at each size."""
    return [_measure(size, build, operation) for size in sizes]


def main() -> None:
    """Measure all parts and print the results."""
    view = _measure_all(ZONE_HOSTS, _view, _change_one)
    _print("fleet view of one zone; time: one changed row", "host", view)
    fleet = _measure_all(FLEET_HOSTS, _snapshot, _change_snapshot)
    _print("snapshot of the fleet; time: one changed row", "host", fleet)
    pools = _measure_all(POOLS, _core, _tick)
    _print("pools of the request path; time: one tick", "pool", pools)
    members = _measure_all(DAEMONS, _members, _merge)
    _print("members; time: one merged digest", "daemon", members)
    metrics = _measure_all(TENANTS, _metrics, id)
    _print("histograms, three classes each; no time", "tenant", metrics)
    codec = _measure_all(DAEMONS, _digests, _exchange)
    _print("digests encoded and decoded, 57 pools", "digest", codec)
    _print_digest_bytes()


if __name__ == "__main__":
    main()
