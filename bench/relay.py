"""Requests a second through the daemon, against bare relays, in one run.

Run with `python -m bench.relay`; each rate is the median of rounds that
take turns, so that a slow spell of the machine hits all alike.
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
from standins.processes import Fleet

if TYPE_CHECKING:
    from standins.processes import Program

__all__ = ["main"]

ROUNDS: Final = 5
SECONDS: Final = 3.0
CONNECTIONS: Final = 16
UPSTREAMS: Final = 4
REQUEST: Final = (
    b"GET /quote HTTP/1.1\r\nhost: lycheelug\r\n"
    b"lycheelug-pool: quotes\r\nlycheelug-tenant: chaguanas\r\n\r\n"
)


def _settings(upstreams: list[Program]) -> dict[str, Any]:
    """Return the daemon's settings."""
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
    """Return the rounds of each target."""
    results: dict[str, list[LoadResult]] = {}
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(Path(directory)) as fleet:
            upstreams = []
            for index in range(UPSTREAMS):
                upstreams.append(
                    await fleet.start_program(
                        f"w{index}", "bench.fast_upstream"
                    )
                )
            targets: dict[str, Program] = {}
            for kind in ("streams", "protocols"):
                relay = await fleet.start_program(
                    kind, "bench.bare_relay", kind, upstreams[0].address
                )
                targets[f"bare relay, {kind}"] = relay
            daemon = await fleet.start_daemon("e1", _settings(upstreams))
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
    """Return the median over rounds of a quantile."""
    return statistics.median(each.quantile_ms(percent) for each in rounds)


def main() -> None:
    """Measure and print a table."""
    results = asyncio.run(_measure())
    rates: dict[str, float] = {}
    cpu: dict[str, float] = {}
    lines = [
        "target                    req/s    p50 ms   p99 ms   errors  "
        "CPU us/req"
    ]
    for name, rounds in results.items():
        rates[name] = statistics.median(each.per_second for each in rounds)
        cpu[name] = statistics.median(each.cpu_us for each in rounds)
        errors = sum(each.errors for each in rounds)
        lines.append(
            f"{name:22} {rates[name]:8.0f} {_median(rounds, 50):9.2f} "
            f"{_median(rounds, 99):8.2f} {errors:8d} {cpu[name]:11.0f}"
        )
    for name in list(rates)[:-1]:
        rate = rates["daemon"] / rates[name]
        p50 = _median(results["daemon"], 50) / _median(results[name], 50)
        lines.append(
            f"daemon / {name}: {rate:.2f} of the rate (target >= 0.60), "
            f"p50 {p50:.2f} times (target <= 1.60), "
            f"CPU {cpu['daemon'] / cpu[name]:.2f} times"
        )
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
