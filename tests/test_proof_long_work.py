"""Long jobs under kills of daemons and many cancellations."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from standins.cluster import Cluster
from standins.processes import DaemonProcess, http_call, wait_until

if TYPE_CHECKING:
    from pathlib import Path

LONG_CLASS = (b"lycheelug-class", b"long")
REPEATABLE = (b"lycheelug-repeatable", b"yes")
JOBS_PATH = "/.well-known/lycheelug/jobs/"
END_TIMEOUT_S = 60.0


async def submit(
    cluster: Cluster,
    daemon: DaemonProcess,
    body: str,
    repeatable: bool = False,
) -> str:
    headers = [LONG_CLASS, REPEATABLE] if repeatable else [LONG_CLASS]
    reply = await cluster.send_request(daemon, body, headers=headers)
    assert (reply.status, reply.outcome) == (202, "accepted")
    return str(msgspec.json.decode(reply.body)["handle"])


async def job(daemon: DaemonProcess, handle: str) -> Any:
    answer = await http_call(daemon.callers, "GET", JOBS_PATH + handle)
    return msgspec.json.decode(answer.body)


async def wait_ended(daemon: DaemonProcess, handles: list[str]) -> list[Any]:
    """Wait until no job waits or runs; return the states of the jobs."""
    ended = {"done", "unknown", "cancelled", "set-aside"}

    async def all_ended() -> bool:
        for handle in handles:
            if (await job(daemon, handle))["state"] not in ended:
                return False
        return True

    await wait_until(all_ended, timeout_s=END_TIMEOUT_S)
    return [await job(daemon, handle) for handle in handles]


async def check_no_rows_left(cluster: Cluster) -> None:
    async def are_rows_gone() -> bool:
        waiting = await cluster.rows("waiting/")
        return not waiting and not await cluster.rows("running/")

    await wait_until(are_rows_gone, timeout_s=END_TIMEOUT_S)


def test_accepted_jobs_survive_kills_of_all_daemons(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            await cluster.set_all_upstream_faults(delay_ms=100)
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            # It is killed right after its last 202, while other jobs run.
            handles = [
                await submit(cluster, first, f"job {n}") for n in range(8)
            ]
            await first.kill()
            handles += [await submit(cluster, second, "job 8")]
            await second.kill()
            third = await cluster.start_entry("e3")
            await cluster.remove_entry("e1")
            await cluster.remove_entry("e2")
            ended = await wait_ended(third, handles)
            counts = await cluster.run_counts()
            assert max(counts.values()) == 1
            for number, state in enumerate(ended):
                # The outcome of a job that a killed daemon may have sent
                # is unknown; every other job has run.
                assert state["state"] in {"done", "unknown"}, state
                if state["state"] == "done":
                    assert counts[f"job {number}"] == 1
            assert [each["state"] for each in ended].count("done") >= 5
            await check_no_rows_left(cluster)

    asyncio.run(run())


def test_many_cancellations_leave_no_rows(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            await cluster.set_all_upstream_faults(delay_ms=400)
            daemons = [await cluster.start_entry(f"e{n}") for n in range(2)]
            handles = []
            for number in range(30):
                daemon = daemons[number % 2]
                handles.append(await submit(cluster, daemon, f"job {number}"))
            await cluster.set_platform_faults(lose_share=0.1, seed=5)
            cancels = []
            for number, handle in enumerate(handles):
                daemon = daemons[(number + 1) % 2]
                cancels.append(
                    http_call(daemon.callers, "DELETE", JOBS_PATH + handle)
                )
            await asyncio.gather(*cancels)
            await cluster.set_platform_faults()
            for handle in handles:
                # A second cancellation changes nothing.
                await http_call(
                    daemons[0].callers, "DELETE", JOBS_PATH + handle
                )
            ended = await wait_ended(daemons[1], handles)
            counts = await cluster.run_counts()
            for number, state in enumerate(ended):
                ran = counts.get(f"job {number}", 0)
                assert ran <= 1
                if state["outcome"] == "not-run":
                    assert ran == 0, state
            outcomes = [each["outcome"] for each in ended]
            assert outcomes.count("not-run") >= 20
            await check_no_rows_left(cluster)

    asyncio.run(run())


def test_job_set_aside_is_kept_for_caller_and_operator(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 4})
            await cluster.set_all_upstream_faults(mode="fail")
            daemon = await cluster.start_entry("e1")
            handle = await submit(cluster, daemon, "impossible", True)
            (state,) = await wait_ended(daemon, [handle])
            assert state["state"] == "set-aside"
            assert len({each["host"] for each in state["failures"]}) >= 3
            await daemon.kill()
            other = await cluster.start_entry("e2")
            assert (await job(other, handle))["state"] == "set-aside"
            (row,) = await other.get("/v1/jobs/set-aside")
            assert row["pool"] == "quotes"
            assert len(row["failures"]) >= 3
            code, text = await cluster.run_tool(
                "jobs", "--address", other.operators
            )
            assert code == 0
            assert "quotes" in text
            await check_no_rows_left(cluster)

    asyncio.run(run())
