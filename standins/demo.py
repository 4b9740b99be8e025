"""Shows the main job with real processes, within a minute.

Starts the stand-in platform, six upstreams and two entry daemons, applies
a morning sheet, sends requests of three tenants, moves a host by a second
sheet under load, prints answers and histograms, and stops everything
gracefully.  Then two schedulers run a job with steps on the stand-in for the
users' platform, and the pool's owner is killed meanwhile.  Run it with
`make run`.
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
from standins.schedulers import SchedulerFleet
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


def say(text: str) -> None:
    """Print a heading or a line at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def show(cluster: Cluster, *words: str) -> None:
    """Run the command-line tool on the first daemon and print the result."""
    daemon = cluster.daemons["e1"]
    say(f"\n$ lycheelug {' '.join(words)}")
    code, text = await cluster.run_tool(*words, "--address", daemon.operators)
    say(text.rstrip())
    if code != 0:
        raise RuntimeError(f"lycheelug {words} ended with code {code}")


async def send_requests(
    cluster: Cluster, batch: str
) -> collections.Counter[str]:
    """Send a batch through both daemons; return how it ended."""
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
            own = reply.status == 200 and reply.echo == f"{batch} {number}"
            outcomes["own whole answer" if own else reply.outcome] += 1

    await asyncio.gather(*(send(number) for number in range(REQUESTS)))
    return outcomes


async def show_main_job(directory: Path) -> None:
    """Run the whole demonstration."""
    async with Cluster(directory) as cluster:
        await cluster.start_platform_and_pools({})
        entries: list[HostEntry] = []
        for index in range(HOSTS):
            name = f"w{index}"
            upstream = await cluster.start_upstream(name, "--delay-ms", "5")
            cluster.upstreams[name] = upstream
            rack = f"r{index % 2}"
            entries.append(HostEntry(name, "z1", rack, upstream.address))
        await cluster.list_hosts(entries)
        await cluster.start_entry("e1")
        await cluster.start_entry("e2")
        say("platform, 6 upstreams and 2 entry daemons run as processes")
        morning = directory / "morning.csv"
        morning.write_text(MORNING, encoding="utf-8")
        await show(cluster, "sheet", "check", str(morning))
        await show(cluster, "sheet", "apply", str(morning))
        await cluster.wait_members(cluster.daemons["e1"], alive=2)
        for daemon in cluster.daemons.values():
            await cluster.wait_pools(daemon, 3)
        await show(cluster, "status")
        outcomes = await send_requests(cluster, "morning")
        say(f"\n{REQUESTS} requests ended as: {dict(outcomes)}")
        midday = directory / "midday.csv"
        midday.write_text(MIDDAY, encoding="utf-8")
        await show(cluster, "sheet", "plan", str(midday))
        sending = asyncio.create_task(send_requests(cluster, "midday"))
        await show(cluster, "sheet", "apply", str(midday))
        say(f"\nmeanwhile, {REQUESTS} more: {dict(await sending)}")
        outcomes = await send_requests(cluster, "morning")
        say(f"\nthe first {REQUESTS} sent again: {dict(outcomes)}")
        await show(cluster, "hosts")
        await show(cluster, "pools")
        await show(cluster, "histograms")
        runs = await cluster.runs()
        keys = collections.Counter(run["key"] for run in runs)
        say(f"\n{len(keys)} keys ran, none more than {max(keys.values())}x")
        for daemon in cluster.daemons.values():
            say(f"{daemon.name} stopped with code {await daemon.stop()}")


async def show_steps(directory: Path) -> None:
    """Run a job with steps, and kill the owner of its pool meanwhile."""
    async with SchedulerFleet(directory) as fleet:
        await fleet.start_platform_and_executors(
            executors=EXECUTORS, work_ms=TASK_MS
        )
        first = await fleet.start_scheduler("e1")
        second = await fleet.start_scheduler("e2")
        schedulers = (first, second)
        say(f"\n{EXECUTORS} executors and 2 schedulers run as processes")
        await wait_until(lambda: any(each.owns(POOL) for each in schedulers))
        owner, other = schedulers
        if second.owns(POOL):
            owner, other = second, first
        status = await other.submit(JOB, STEPS)
        say(f"job {JOB} handed in at {other.name}: status {status}")
        await owner.kill()
        say(f"{owner.name}, which owned pool {POOL}, was killed")

        async def is_done() -> bool:
            return await other.state(JOB) == "completed"

        await wait_until(is_done)
        say(f"state at {other.name}: {await other.state(JOB)}")
        for run in await fleet.runs():
            took_ms = 1000 * (run.ended - run.began)
            say(
                f"  {run.task} run {run.run} on {run.executor}: "
                f"{run.how} after {took_ms:.0f} ms"
            )
        say(f"{other.name} stopped with code {await other.stop()}")


def main() -> None:
    """Run the demonstration in a directory of its own."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(show_main_job(Path(directory)))
        asyncio.run(show_steps(Path(directory)))


if __name__ == "__main__":
    main()
