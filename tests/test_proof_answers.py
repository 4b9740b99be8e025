"""Own and whole answers, and a true "not run", in separate processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from standins.callers import Callers, CallResult
from standins.cluster import Cluster

if TYPE_CHECKING:
    from pathlib import Path

CALLERS = 20
WAVES = 3
# Idle connections are used again for shorter than this.
REUSE_S = 0.6
LEFT_RUN_S = 0.4


class Row:
    """One fault of the upstreams and the outcomes that callers may get."""

    def __init__(
        self,
        name: str,
        faults: dict[str, Any],
        stated: str,
        allowed: str = "",
        deadline_s: float = 5.0,
        leave_after_s: float = 0.0,
        reuse: bool = True,
    ) -> None:
        self.reuse = reuse
        self.name = name
        self.faults = faults
        self.stated = stated
        self.allowed = {stated, *allowed.split()}
        self.deadline_s = deadline_s
        self.leave_after_s = leave_after_s


TABLE = [
    Row("no fault", {}, "answered"),
    Row("crossed", {"mode": "crossed"}, "unknown"),
    Row("twice", {"mode": "duplicate"}, "answered", "unknown"),
    Row("cut short", {"mode": "truncate"}, "unknown"),
    # An upstream whose answers carried the id before must go on so.
    Row("unasked", {"mode": "unasked"}, "unknown", "answered", reuse=False),
    Row("without id", {"mode": "no-echo"}, "unknown"),
    Row("none after the run", {"mode": "drop"}, "unknown"),
    Row("late", {"delay_ms": 900}, "unknown", "not-run", deadline_s=0.4),
    Row("refused", {"mode": "refuse"}, "not-run"),
    Row("server error", {"mode": "fail"}, "answered"),
    Row(
        "caller left",
        {"delay_ms": 300},
        "answered",
        leave_after_s=0.1,
    ),
]


async def leave_early(callers: Callers, after_s: float) -> None:
    """Send requests whose callers go away before their answers come."""
    tasks = [asyncio.create_task(callers.send()) for _ in range(CALLERS)]
    await asyncio.sleep(after_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    # The upstreams go on with what nobody waits for any more.
    await asyncio.sleep(LEFT_RUN_S)


async def check_row(cluster: Cluster, row: Row) -> list[CallResult]:
    daemon = cluster.daemons["e1"]
    callers = Callers(lambda: [daemon], f"{row.name} ", "quotes")
    callers.deadline_s = row.deadline_s
    await cluster.set_all_upstream_faults(**row.faults)
    if row.leave_after_s:
        await leave_early(callers, row.leave_after_s)
    for _ in range(WAVES):
        if not row.reuse:
            await asyncio.sleep(REUSE_S)
        await callers.send_batch(CALLERS)
    strange = [
        each for each in callers.results if not each.has_no_wrong_answer
    ]
    assert strange == [], row.name
    assert set(callers.outcomes) <= row.allowed, (row.name, callers.results)
    assert row.stated in callers.outcomes, (row.name, callers.results)
    await cluster.set_all_upstream_faults()
    # What nobody waits for any more still holds the upstreams' slots.
    await asyncio.sleep(row.faults.get("delay_ms", 0) / 1000)
    callers.deadline_s = 30.0
    after = await callers.send_batch(CALLERS)
    missed = [each for each in after if not each.is_served]
    assert missed == [], row.name
    callers.close()
    return callers.results


def test_every_caller_gets_its_own_answer_or_a_true_outcome(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 4})
            await cluster.start_entry("e1")
            told: list[CallResult] = []
            for row in TABLE:
                told += await check_row(cluster, row)
            counts = await cluster.run_counts()
            assert max(counts.values()) == 1
            for each in told:
                if each.outcome == "not-run":
                    assert each.payload not in counts, each
                if each.outcome == "answered":
                    assert counts[each.payload] == 1, each

    asyncio.run(run())


def test_many_callers_at_once_get_each_its_own(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2, "tools": 2})
            daemons = [await cluster.start_entry(f"e{n}") for n in range(2)]
            for daemon in daemons:
                await cluster.wait_limits(daemon, 4)
            await cluster.set_all_upstream_faults(delay_ms=20)
            groups = [
                Callers(lambda: daemons, f"{pool} ", pool, 30.0)
                for pool in ("quotes", "tools")
            ]
            for _ in range(3):
                await asyncio.gather(*(each.send_batch(30) for each in groups))
            for callers in groups:
                assert len(callers.results) == 90
                missed = [e for e in callers.results if not e.is_served]
                assert missed == []
                callers.close()

    asyncio.run(run())
