"""Demonstrates the main features with real processes, within a minute.

Starts the stand-in platform, six upstreams and two entry daemons, applies
a morning sheet, sends requests of three tenants, moves a host by a second
sheet under load, prints outcomes and histograms, and stops all daemons
gracefully.  Then two schedulers run a job with steps on the stand-in for the
users' platform, and the scheduler that owns the pool is killed while the
job runs.  Run it with `make run`.
"""

from __future__ import annotations

import asyncio
import collections
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

from lycheelug.store import HostEntry
from standins.cluster import Cluster, Reply
from standins.processes import wait_until
from standins.schedulers import SchedulerCluster
from standins.task_platform import POOL

__all__ = ["main"]

MORNING: Final = """\
kind,pool,min_available,spare,hosts:z1,tenant,share
pool,quotes,1,,3,,
pool,tooling,1,,2,,
pool,misc,0,yes,1,,
quota,quotes,,,,arima,50%
"""
MIDDAY: Final = MORNING.replace("quotes,1,,3", "quotes,1,,2").replace(
    "tooling,1,,2", "tooling,1,,3"
)
REQUESTS: Final = 300
IN_PARALLEL: Final = 12
HOSTS: Final = 6
EXECUTORS: Final = 3
TASK_MS: Final = 600
JOB: Final = "5c0e7a21d94b36f8"
STEPS: Final[list[dict[str, Any]]] = [
    {"count": 3, "cpu": 500, "estimate_ms": TASK_MS},
    {"count": 2, "cpu": 500, "estimate_ms": TASK_MS, "depends_on": [0]},
]
TENANTS: Final = ("chaguanas", "san-fernando", "arima")


def print_line(text: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def run_and_print(cluster: Cluster, *arguments: str) -> None:
    """Run the command-line tool on the first daemon; print its output."""
    daemon = cluster.daemons["e1"]
    print_line(f"\n$ lycheelug {' '.join(arguments)}")
    code, text = await cluster.run_tool(
        *arguments, "--address", daemon.operators
    )
    print_line(text.rstrip())
    if code != 0:
        raise RuntimeError(f"lycheelug {arguments} ended with code {code}")


async def send_requests(
    cluster: Cluster, batch: str
) -> collections.Counter[str]:
    """Send a batch of requests to both daemons; count their outcomes."""
    outcomes: collections.Counter[str] = collections.Counter()
    daemons = list(cluster.daemons.values())
    limit = asyncio.Semaphore(IN_PARALLEL)

    async def send(number: int) -> None:
        async with limit:
            reply: Reply = await cluster.send_request(
                daemons[(number + len(batch)) % len(daemons)],
                f"{batch} {number}",
                pool=("quotes", "tooling")[number % 2],
                headers=[
                    (
                        b"lycheelug-tenant",
                        TENANTS[number % len(TENANTS)].encode(),
                    ),
                    (b"idempotency-key", f"{batch}-{number}".encode()),
                ],
            )
            is_correct = (
                reply.status == 200 and reply.echo == f"{batch} {number}"
            )
            outcomes["correct answer" if is_correct else reply.outcome] += 1

    await asyncio.gather(*(send(number) for number in range(REQUESTS)))
    return outcomes


async def demonstrate_requests(directory: Path) -> None:
    """Demonstrate sheets, requests and moves of hosts."""
    async with Cluster(directory) as cluster:
        await cluster.start_platform_and_pools({})
        entries: list[HostEntry] = []
        for index in range(HOSTS):
            name = f"w{index}"
            upstream = await cluster.start_upstream(name, "--delay-ms", "5")
            cluster.upstreams[name] = upstream
            rack = f"r{index % 2}"
            entries.append(HostEntry(name, "z1", rack, upstream.address))
        await cluster.put_hosts(entries)
        await cluster.start_entry("e1")
        await cluster.start_entry("e2")
        print_line(
            "platform, 6 upstreams and 2 entry daemons run as processes"
        )
        morning = directory / "morning.csv"
        morning.write_text(MORNING, encoding="utf-8")
        await run_and_print(cluster, "sheet", "check", str(morning))
        await run_and_print(cluster, "sheet", "apply", str(morning))
        await cluster.wait_members(cluster.daemons["e1"], alive=2)
        for daemon in cluster.daemons.values():
            await cluster.wait_pools(daemon, 3)
        await run_and_print(cluster, "status")
        outcomes = await send_requests(cluster, "morning")
        print_line(f"\n{REQUESTS} requests ended as: {dict(outcomes)}")
        midday = directory / "midday.csv"
        midday.write_text(MIDDAY, encoding="utf-8")
        await run_and_print(cluster, "sheet", "plan", str(midday))
        sending = asyncio.create_task(send_requests(cluster, "midday"))
        await run_and_print(cluster, "sheet", "apply", str(midday))
        print_line(f"\nmeanwhile, {REQUESTS} more: {dict(await sending)}")
        outcomes = await send_requests(cluster, "morning")
        print_line(f"\nthe first {REQUESTS} sent again: {dict(outcomes)}")
        await run_and_print(cluster, "hosts")
        await run_and_print(cluster, "pools")
        await run_and_print(cluster, "histograms")
        runs = await cluster.runs()
        keys = collections.Counter(run["key"] for run in runs)
        print_line(
            f"\n{len(keys)} keys ran, none more than {max(keys.values())}x"
        )
        for daemon in cluster.daemons.values():
            print_line(
                f"{daemon.name} stopped with code {await daemon.stop()}"
            )


async def demonstrate_job_steps(directory: Path) -> None:
    """Run a job with steps, and kill its pool's owner while it runs."""
    async with SchedulerCluster(directory) as cluster:
        await cluster.start_platform_and_executors(
            executors=EXECUTORS, work_ms=TASK_MS
        )
        first = await cluster.start_scheduler("e1")
        second = await cluster.start_scheduler("e2")
        schedulers = (first, second)
        print_line(
            f"\n{EXECUTORS} executors and 2 schedulers run as processes"
        )
        await wait_until(lambda: any(each.owns(POOL) for each in schedulers))
        owner, other = schedulers
        if second.owns(POOL):
            owner, other = second, first
        status = await other.submit(JOB, STEPS)
        print_line(f"job {JOB} submitted to {other.name}: status {status}")
        await owner.kill()
        print_line(f"{owner.name}, which owned pool {POOL}, was killed")

        async def is_done() -> bool:
            return await other.state(JOB) == "completed"

        await wait_until(is_done)
        print_line(f"state at {other.name}: {await other.state(JOB)}")
        for run in await cluster.runs():
            took_ms = 1000 * (run.ended - run.began)
            print_line(
                f"  {run.task} run {run.run} on {run.executor}: "
                f"{run.how} after {took_ms:.0f} ms"
            )
        print_line(f"{other.name} stopped with code {await other.stop()}")


def main() -> None:
    """Run the demonstration in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(demonstrate_requests(Path(directory)))
        asyncio.run(demonstrate_job_steps(Path(directory)))


if __name__ == "__main__":
    main()
