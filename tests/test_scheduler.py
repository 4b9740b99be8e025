"""Assignment of executor slots to requests, with and without queueing."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure

from lycheelug.admission import QUEUES, QueueSettings
from lycheelug.dispatch import CHOICES
from lycheelug.leaving import LeavingHosts, LeavingSign
from lycheelug.records import HostRow
from lycheelug.requests import RequestClass
from lycheelug.scheduler import PoolScheduler
from lycheelug.slots import SHARES, ShareSettings
from lycheelug.upstreams.executors import ExecutorSet

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.admission import Ticket
    from lycheelug.dispatch import Executor
    from lycheelug.errors import Fault

NO_EXCLUSIONS = frozenset[str]()


class World:
    """A scheduler with two executors that have one slot each."""

    def __init__(self, policy: str) -> None:
        self.now = 100.0
        self.leaving = LeavingHosts()
        share = SHARES.get("whole")(ShareSettings(slots=1))
        self.executors = ExecutorSet(
            "quotes",
            1,
            0,
            share,
            CHOICES.get("two-choices"),
            self.leaving,
            random.Random(7),
        )
        rows = [
            HostRow("w1", "z1", "r1", "quotes", address="127.0.0.1:1"),
            HostRow("w2", "z1", "r2", "quotes", address="127.0.0.1:2"),
        ]
        self.executors.update_hosts(rows, self.now)
        self.executors.update_shares("e1", ["e1"], [], self.now)
        queue = QUEUES.get(policy)("quotes", QueueSettings())
        self.scheduler = PoolScheduler(queue, self.executors, lambda: self.now)

    def ticket(self, timeout_s: float = 10.0) -> Ticket:
        """Create the ticket of a new request."""
        return self.scheduler.make_ticket(
            "shop", RequestClass.SHORT, self.now, self.now + timeout_s
        )

    def start_acquire(
        self, ticket: Ticket, probe: bool = False
    ) -> asyncio.Task[Result[Executor, Fault]]:
        """Start a task that acquires a slot."""
        return asyncio.create_task(
            self.scheduler.acquire(ticket, NO_EXCLUSIONS, probe)
        )


async def run_pending() -> None:
    """Run all tasks until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize("policy", ["deadline", "earliest-deadline", "fifo"])
def test_a_request_waits_only_where_no_slot_is_free(policy: str) -> None:
    async def run() -> None:
        world = World(policy)
        tickets = [world.ticket() for _ in range(4)]
        tasks = [world.start_acquire(ticket) for ticket in tickets]
        await run_pending()
        assert [task.done() for task in tasks] == [True, True, False, False]
        first = tasks[0].result().unwrap()
        names = {task.result().unwrap().name for task in tasks[:2]}
        assert names == {"w1", "w2"}
        assert world.scheduler.queued == 2
        # A later request does not overtake queued ones.
        world.scheduler.release(tickets[0], first, 0.01, ok=True)
        late = world.start_acquire(world.ticket())
        await run_pending()
        assert tasks[2].result().unwrap() is first
        assert not late.done()
        assert world.executors.in_flight == 2
        for task in (tasks[3], late):
            task.cancel()
        await run_pending()
        assert world.scheduler.queued == 0

    asyncio.run(run())


def test_too_late_is_refused_though_a_slot_is_free() -> None:
    async def run() -> None:
        world = World("deadline")
        result = await world.start_acquire(world.ticket(timeout_s=-1.0))
        assert isinstance(result, Failure)
        assert result.failure().code.name == "too-late"
        assert world.executors.in_flight == 0
        assert world.scheduler.queued == 0

    asyncio.run(run())


@pytest.mark.parametrize("probe", [True, False])
def test_only_a_probe_gets_a_leaving_host(probe: bool) -> None:
    async def run() -> None:
        world = World("deadline")
        world.leaving.record_sign("w1", LeavingSign.CONNECT_FAILED, world.now)
        world.now += 5.0
        world.executors.refresh(world.now)
        assert world.executors.capacity == 2
        assert (
            await world.start_acquire(world.ticket())
        ).unwrap().name == "w2"
        task = world.start_acquire(world.ticket(), probe=probe)
        await run_pending()
        assert task.done() is probe
        assert world.scheduler.queued == (0 if probe else 1)
        assert world.executors.in_flight == (2 if probe else 1)
        task.cancel()
        await run_pending()

    asyncio.run(run())
