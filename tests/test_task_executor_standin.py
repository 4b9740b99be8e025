"""The stand-in executor restarts, and loses or delays calls, as the users'."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import msgspec

from standins.hint_tickets import HintTickets
from standins.incarnation import LEASE_MAX_MS, SimulatedWork
from standins.processes import http_call, wait_until
from standins.task_executor import TaskExecutor

if TYPE_CHECKING:
    from standins.run_records import RunRecord

TASK = "0123456789abcdef.0.0.0"
NEVER_MS = 10**9


class Bench:
    """One executor and its records."""

    def __init__(self, work_s: float) -> None:
        self.runs: list[RunRecord] = []
        self.executor = TaskExecutor(
            "x0",
            SimulatedWork(work_s),
            self.runs,
            HintTickets(set()),
            random.Random(1),
        )

    async def __aenter__(self) -> Bench:
        await self.executor.start()
        self._loop = asyncio.create_task(self.executor.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._loop.cancel()
        self.executor.stop()

    async def call(
        self, target: str, timeout_s: float = 5, **body: Any
    ) -> Any:
        """Send one call; return the content of its answer."""
        headers = [(b"expected-instance", b"x0")]
        answer = await http_call(
            self.executor.address,
            "POST",
            target,
            msgspec.json.encode(body),
            headers,
            timeout_s,
        )
        return msgspec.json.decode(answer.body)

    async def start_run(self, run: int, token: int = 1) -> Any:
        """Start a run of the task with a lease that is shortened."""
        return await self.call(
            "/v1/run-start",
            task=TASK,
            run=run,
            fencing_token=token,
            deadline_ms=NEVER_MS,
        )


# Guards against leases that the stand-in grants and the users' executors not.
def test_lease_is_shortened_to_the_longest() -> None:
    async def run() -> None:
        async with Bench(work_s=1000) as bench:
            reply = await bench.start_run(1)
            sent_ms = reply["clock_ms"]
            (record,) = bench.runs
            await wait_until(lambda: record.how == "lapsed")
            reply = await bench.call("/v1/hold", fencing_token=1)
            assert reply["clock_ms"] >= sent_ms + LEASE_MAX_MS

    asyncio.run(run())


# Guards against a stand-in that answers only for the incarnation meant.
def test_call_in_a_dark_crash_reaches_the_next_incarnation() -> None:
    async def run() -> None:
        async with Bench(work_s=0.05) as bench:
            executor = bench.executor
            await bench.start_run(7, token=5)
            former_ms = executor.born_ms
            restart = asyncio.create_task(executor.restart(0.2, is_dark=True))
            await wait_until(lambda: not executor.is_up)
            assert executor.is_reported_up
            # The run and the token are lower than the former one's.
            await bench.start_run(1, token=1)
            await restart
            first, second = bench.runs
            assert (first.how, first.born_ms) == ("crashed", former_ms)
            assert second.born_ms == executor.born_ms > former_ms
            await wait_until(lambda: second.how == "done")
            reply = await bench.call("/v1/hold", fencing_token=1, last_seen=1)
            assert reply["ended"] == []
            assert second.is_end_lost
            assert second.is_end_noted

    asyncio.run(run())


# Guards against a stand-in that keeps its address, tokens or ends.
def test_restart_begins_anew_at_the_same_address() -> None:
    async def run() -> None:
        async with Bench(work_s=1000) as bench:
            address = bench.executor.address
            await bench.start_run(7, token=5)
            await bench.executor.restart(0.05, is_dark=False)
            assert bench.executor.address == address
            reply = await bench.call("/v1/hold", fencing_token=1)
            assert (reply["running"], reply["ended"]) == ([], [])
            assert reply["born"] == bench.executor.born_ms

    asyncio.run(run())


# Guards against late calls that the stand-in drops, or doesn't mark.
def test_late_call_is_carried_out_by_whichever_incarnation_is_there() -> None:
    async def run() -> None:
        async with Bench(work_s=1000) as bench:
            executor = bench.executor
            executor.late_share = 1.0
            call = asyncio.create_task(bench.start_run(1))
            await asyncio.sleep(0.05)
            await executor.restart(0.0, is_dark=True)
            executor.late_share = 0.0
            await wait_until(lambda: bench.runs)
            (record,) = bench.runs
            assert record.born_ms == executor.born_ms
            assert record.was_unfenced
            assert not call.done()
            call.cancel()

    asyncio.run(run())
