"""Each caller gets its own complete answer or a true outcome, under faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from standins.callers import Callers, CallResult
from standins.cluster import Cluster

if TYPE_CHECKING:
    from pathlib import Path

CALLERS = 20
BATCHES = 3
# Longer than the daemon keeps an idle connection for reuse.
REUSE_EXPIRY_S = 0.6
ABANDONED_RUN_S = 0.4


class FaultCase:
    """One fault of the upstreams and the outcomes that it allows.

    At least one caller must get the outcome `required`.
    """

    def __init__(
        self,
        name: str,
        faults: dict[str, Any],
        required: str,
        allowed: str = "",
        deadline_s: float = 5.0,
        disconnect_after_s: float = 0.0,
        reuses_connections: bool = True,
    ) -> None:
        self.reuses_connections = reuses_connections
        self.name = name
        self.faults = faults
        self.required = required
        self.allowed = {required, *allowed.split()}
        self.deadline_s = deadline_s
        self.disconnect_after_s = disconnect_after_s


FAULT_CASES = [
    FaultCase("no fault", {}, "answered"),
    FaultCase("crossed", {"mode": "crossed"}, "unknown"),
    FaultCase("twice", {"mode": "duplicate"}, "answered", "unknown"),
    FaultCase("cut short", {"mode": "truncate"}, "unknown"),
    # Once its answers have had a request id, an upstream must keep sending it.
    FaultCase(
        "unasked",
        {"mode": "unasked"},
        "unknown",
        "answered",
        reuses_connections=False,
    ),
    FaultCase("without id", {"mode": "no-echo"}, "unknown"),
    FaultCase("none after the run", {"mode": "drop"}, "unknown"),
    FaultCase("late", {"delay_ms": 900}, "unknown", "not-run", deadline_s=0.4),
    FaultCase("refused", {"mode": "refuse"}, "not-run"),
    FaultCase("server error", {"mode": "fail"}, "answered"),
    FaultCase(
        "caller left",
        {"delay_ms": 300},
        "answered",
        disconnect_after_s=0.1,
    ),
]


async def disconnect_early(callers: Callers, after_s: float) -> None:
    """Send requests whose callers disconnect before the answers arrive."""
    tasks = [asyncio.create_task(callers.send()) for _ in range(CALLERS)]
    await asyncio.sleep(after_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    # The upstreams still run the abandoned requests.
    await asyncio.sleep(ABANDONED_RUN_S)


async def check_fault_case(
    cluster: Cluster, case: FaultCase
) -> list[CallResult]:
    daemon = cluster.daemons["e1"]
    callers = Callers(lambda: [daemon], f"{case.name} ", "quotes")
    callers.deadline_s = case.deadline_s
    await cluster.set_all_upstream_faults(**case.faults)
    if case.disconnect_after_s:
        await disconnect_early(callers, case.disconnect_after_s)
    for _ in range(BATCHES):
        if not case.reuses_connections:
            await asyncio.sleep(REUSE_EXPIRY_S)
        await callers.send_batch(CALLERS)
    wrong = [each for each in callers.results if not each.has_no_wrong_answer]
    assert wrong == [], case.name
    assert set(callers.outcomes) <= case.allowed, (case.name, callers.results)
    assert case.required in callers.outcomes, (case.name, callers.results)
    await cluster.set_all_upstream_faults()
    # Abandoned requests still occupy the upstreams' slots.
    await asyncio.sleep(case.faults.get("delay_ms", 0) / 1000)
    callers.deadline_s = 30.0
    after = await callers.send_batch(CALLERS)
    unserved = [each for each in after if not each.is_served]
    assert unserved == [], case.name
    callers.close()
    return callers.results


def test_every_caller_gets_its_own_answer_or_a_true_outcome(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 4})
            await cluster.start_entry("e1")
            results: list[CallResult] = []
            for case in FAULT_CASES:
                results += await check_fault_case(cluster, case)
            counts = await cluster.run_counts()
            assert max(counts.values()) == 1
            for each in results:
                if each.outcome == "not-run":
                    assert each.payload not in counts, each
                if each.outcome == "answered":
                    assert counts[each.payload] == 1, each

    asyncio.run(run())


def test_concurrent_callers_get_their_own_answers(tmp_path: Path) -> None:
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
                unserved = [e for e in callers.results if not e.is_served]
                assert unserved == []
                callers.close()

    asyncio.run(run())
