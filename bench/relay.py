"""Compares the throughput of the daemon with bare relays in one run.

Run with `python -m bench.relay`.  The targets are loaded alternately in
short rounds, and each ratio is the median of the ratios within a round, so
that a temporary slowdown of the machine affects all targets equally.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from bench.load import LoadResult, run_load
from bench.process_usage import cpu_seconds
from standins.processes import ProcessGroup

if TYPE_CHECKING:
    from standins.processes import Program

__all__ = ["main"]

ROUNDS: Final = 20
SECONDS: Final = 1.0
CONNECTIONS: Final = 16
UPSTREAMS: Final = 4
REQUEST: Final = (
    b"GET /quote HTTP/1.1\r\nhost: lycheelug\r\n"
    b"lycheelug-pool: quotes\r\nlycheelug-tenant: chaguanas\r\n\r\n"
)


def _settings(upstreams: list[Program]) -> dict[str, Any]:
    """Return the settings of the daemon."""
    hosts = []
    for index, upstream in enumerate(upstreams):
        hosts.append(
            {
                "name": f"w{index}",
                "pool": "quotes",
                "address": upstream.address,
            }
        )
    return {
        "platform": {
            "binding": "memory",
            "pools": [{"name": "quotes"}],
            "hosts": hosts,
        }
    }


async def _measure() -> dict[str, list[LoadResult]]:
    """Load all targets and return the results of their rounds."""
    results: dict[str, list[LoadResult]] = {}
    with tempfile.TemporaryDirectory() as directory:
        async with ProcessGroup(Path(directory)) as processes:
            upstreams = []
            for index in range(UPSTREAMS):
                upstreams.append(
                    await processes.start_program(
                        f"w{index}", "bench.fast_upstream"
                    )
                )
            targets: dict[str, Program] = {}
            for kind in ("streams", "protocols"):
                relay = await processes.start_program(
                    kind, "bench.bare_relay", kind, upstreams[0].address
                )
                targets[f"bare relay, {kind}"] = relay
            daemon = await processes.start_daemon("e1", _settings(upstreams))
            daemon.address = daemon.callers
            targets["daemon"] = daemon
            for _ in range(ROUNDS):
                for name, program in targets.items():
                    cpu_s = cpu_seconds(program.process.pid)
                    result = await run_load(
                        program.address, REQUEST, CONNECTIONS, SECONDS
                    )
                    result.cpu_s = cpu_seconds(program.process.pid) - cpu_s
                    results.setdefault(name, []).append(result)
    return results


def _median(rounds: list[LoadResult], percent: float) -> float:
    """Return the median over the rounds of a latency percentile."""
    return statistics.median(each.quantile_ms(percent) for each in rounds)


def _compare(daemon: list[LoadResult], relay: list[LoadResult]) -> str:
    """Describe the daemon relative to a relay, by medians of ratios."""
    rates: list[float] = []
    p50s: list[float] = []
    cpus: list[float] = []
    for daemon_result, relay_result in zip(daemon, relay, strict=True):
        rates.append(daemon_result.per_second / relay_result.per_second)
        p50s.append(
            daemon_result.quantile_ms(50) / relay_result.quantile_ms(50)
        )
        cpus.append(daemon_result.cpu_us / relay_result.cpu_us)
    return (
        f"{statistics.median(rates):.2f} of the rate (target >= 0.60), "
        f"p50 {statistics.median(p50s):.2f} times (target <= 1.60), "
        f"CPU {statistics.median(cpus):.2f} times"
    )


def main() -> None:
    """Measure and print a table."""
    results = asyncio.run(_measure())
    lines = [
        "target                    req/s    p50 ms   p99 ms   errors  "
        "CPU us/req"
    ]
    for name, rounds in results.items():
        rate = statistics.median(each.per_second for each in rounds)
        cpu_us = statistics.median(each.cpu_us for each in rounds)
        errors = sum(each.errors for each in rounds)
        lines.append(
            f"{name:22} {rate:8.0f} {_median(rounds, 50):9.2f} "
            f"{_median(rounds, 99):8.2f} {errors:8d} {cpu_us:11.0f}"
        )
    daemon = results.pop("daemon")
    for name, rounds in results.items():
        lines.append(f"daemon / {name}: {_compare(daemon, rounds)}")
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
