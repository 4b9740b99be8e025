"""Tests of queues whose tasks need tickets of the placement hint service.

The service here follows the platform's pages: a ticket is good for all tasks
of a step, on one life of an executor, for the `valid_ms` of the queue.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Success

from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.jobservice.interfaces import (
    Configuration,
    PlacementHint,
    PoolPolicy,
    Route,
)
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads import (
    HintTiming,
    JobRecord,
    StartAnswer,
    StepName,
    StepSpec,
)
from lycheelug.workloads.model import JobState
from lycheelug.workloads.placement_hints import PlacementHints
from tests.job_world import POOL, FakeFleet, JobWorld, job_id, until
from tests.pool_world import PoolWorld
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from lycheelug.workloads import ExecutorInfo, TaskName

VALID_S = 4.0
TIMING = HintTiming(0.02, 0.001, VALID_S)
HINTED = Route(
    "hinted", "", "/h/", POOL, 0, 2, 1.6, 0.6, True, hint_timing=TIMING
)


class HintedFleet(FakeFleet):
    """Executors that check tickets, and the service that gives them."""

    def __init__(self) -> None:
        super().__init__()
        # How long a call takes, and whether calls fail.
        self.call_s = 0.03
        self.is_away = False
        # What an answer says of the validity of its tickets.
        self.answered_s: float | None = None
        # The calls in progress now, and the most that ever were.
        self.calls = 0
        self.calls_max = 0
        self.named: list[int] = []
        # Step, executor, and when the ticket ends, by ticket.
        self.tickets: dict[str, tuple[str, str, float]] = {}
        self.bad_tickets = 0
        # How many of the next tickets executors reject for no reason.
        self.rejections = 0

    async def request_placement_hint(
        self, step: StepName, executors: Sequence[str], call_s: float = 0.0
    ) -> Result[PlacementHint, Fault]:
        self.hint_calls += 1
        self.named.append(len(executors))
        self.calls += 1
        self.calls_max = max(self.calls_max, self.calls)
        await asyncio.sleep(self.call_s)
        self.calls -= 1
        if self.is_away:
            return Failure(
                Fault(PLATFORM_UNREACHABLE, Step.READ, Peer.PLATFORM, "away")
            )
        ends_at = asyncio.get_running_loop().time() + VALID_S
        found: dict[str, str] = {}
        for executor_id in executors:
            if executor_id not in self.allowed:
                continue
            ticket = f"t{len(self.tickets)}"
            self.tickets[ticket] = (step.render(), executor_id, ends_at)
            found[executor_id] = ticket
        return Success(PlacementHint(found, self.answered_s))

    async def start(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        payload: str,
        checkpoint: str,
        deadline_ms: int,
        token: int,
        ticket: str = "",
    ) -> tuple[StartAnswer, int | None]:
        step, executor_id, ends_at = self.tickets.get(ticket, ("", "", 0.0))
        now = asyncio.get_running_loop().time()
        is_valid = now < ends_at and executor_id == info.executor_id
        if self.rejections > 0:
            self.rejections -= 1
            is_valid = False
        if not is_valid or step != StepName.of(task).render():
            self.bad_tickets += 1
            return StartAnswer.BAD_TICKET, None
        return await super().start(
            info, task, run, payload, checkpoint, deadline_ms, token, ticket
        )


class HintedWorld(JobWorld):
    """Daemons that serve one hinted queue."""

    def __init__(self) -> None:
        super().__init__()
        self.hinted = HintedFleet()
        self.fleet = self.hinted

    async def begin(self, executors: int, allowed: int) -> None:
        for number in range(executors):
            self.fleet.add(f"x{number}")
        self.hinted.allowed = {f"x{number}" for number in range(allowed)}
        self.start_fleet()
        self.start_daemon("e0").apply_configuration(
            Configuration(2, [HINTED], [PoolPolicy(POOL)])
        )
        await until(lambda: len(self.holders()) == 1)

    async def hand_in(self, number: int, steps: list[StepSpec]) -> None:
        reply = await self.daemons["e0"].submissions.submit(
            HINTED, job_id(number), JobRecord("hinted", "payload", steps)
        )
        assert reply.kind is ReplyKind.OK

    async def are_done(self, count: int, within_s: float) -> bool:
        submissions = self.daemons["e0"].submissions
        try:
            async with asyncio.timeout(within_s):
                for number in range(count):
                    while True:
                        reply = await submissions.state(HINTED, job_id(number))
                        if reply.state == JobState.COMPLETED:
                            break
                        await asyncio.sleep(0.1)
        except TimeoutError:
            return False
        return True


STEP = StepSpec(count=4, cpu_millis=500)
LATER = StepSpec(count=4, cpu_millis=500, depends_on=[0])


# Guards against tickets that are valid for 0 s, as their validity is a field
# of the queue and not of the answer: nothing was ever started (case 6).
@pytest.mark.parametrize("answered_s", [None, 0.0, VALID_S, 1.0])
@pytest.mark.parametrize("width", [4, 200])
def test_jobs_of_a_hinted_queue_are_done(
    answered_s: float | None, width: int
) -> None:
    async def run() -> None:
        world = HintedWorld()
        world.hinted.answered_s = answered_s
        await world.begin(executors=8, allowed=5)
        wide = StepSpec(count=width, cpu_millis=500)
        for number in range(3):
            await world.hand_in(number, [wide, LATER])
        assert await world.are_done(3, within_s=40.0)
        assert world.hinted.bad_tickets == 0
        assert len(world.fleet.started) == 3 * (width + 4)
        assert not world.fleet.duplicated_tasks
        await world.stop()

    run_virtual(run())


# Guards against calls without limit to a service that can't give tickets:
# each waiting step called again with each plan (related to case 6).
@pytest.mark.parametrize(
    ("call_s", "most"),
    [
        # Answers at once with a failure, as with 429.
        (0.0, 20),
        # Times out.
        (3.0, 10),
    ],
)
def test_service_that_is_away_gets_few_calls(call_s: float, most: int) -> None:
    async def run() -> None:
        world = HintedWorld()
        world.hinted.is_away = True
        world.hinted.call_s = call_s
        await world.begin(executors=8, allowed=8)
        for number in range(20):
            await world.hand_in(number, [STEP])
        await asyncio.sleep(20.0)
        assert 4 <= world.hinted.hint_calls <= most
        assert world.hinted.calls_max == 1
        assert not world.fleet.started
        world.hinted.is_away = False
        world.hinted.call_s = 0.03
        assert await world.are_done(20, within_s=30.0)
        await world.stop()

    run_virtual(run())


# Guards against several calls at a time by one daemon, of which the service
# handles only one (related to case 6).
def test_daemon_sends_one_call_at_a_time() -> None:
    async def run() -> None:
        world = HintedWorld()
        world.hinted.call_s = 0.2
        await world.begin(executors=8, allowed=8)
        for number in range(10):
            await world.hand_in(number, [STEP])
        assert await world.are_done(10, within_s=40.0)
        assert world.hinted.calls_max == 1
        assert world.hinted.hint_calls <= 20
        await world.stop()

    run_virtual(run())


# Guards against repeated calls for a step that no executor may run, and
# against such a step holding up the others (related to case 6).
def test_step_that_nobody_may_run_is_asked_for_once() -> None:
    async def run() -> None:
        world = HintedWorld()
        await world.begin(executors=8, allowed=0)
        await world.hand_in(0, [STEP])
        await asyncio.sleep(10.0)
        assert world.hinted.hint_calls == 1
        # An executor of which the service has not been asked joins.
        world.fleet.add("y0")
        world.hinted.allowed = {"y0"}
        info = world.fleet.executors["y0"].info
        world.daemons["e0"].update_executor("y0", info)
        assert await world.are_done(1, within_s=20.0)
        assert world.hinted.hint_calls == 2
        await world.stop()

    run_virtual(run())


# Guards against calls without limit for tickets that executors reject.
def test_rejected_tickets_are_renewed_with_a_growing_delay() -> None:
    async def run() -> None:
        world = HintedWorld()
        world.hinted.rejections = 10_000
        await world.begin(executors=2, allowed=2)
        await world.hand_in(0, [STEP])
        await asyncio.sleep(10.0)
        assert 3 <= world.hinted.hint_calls <= 12
        world.hinted.rejections = 0
        assert await world.are_done(1, within_s=10.0)
        await world.stop()

    run_virtual(run())


# Guards against calls that take seconds, as they name executors that aren't
# needed: a call takes longer with each (related to case 6).
def test_call_names_few_executors_of_a_large_pool() -> None:
    async def run() -> None:
        world = HintedWorld()
        await world.begin(executors=80, allowed=80)
        await world.hand_in(0, [STEP])
        assert await world.are_done(1, within_s=20.0)
        assert max(world.hinted.named) <= 30
        # Those that aren't named first are, once the others are full.
        await world.hand_in(1, [StepSpec(count=300, cpu_millis=2000)])
        assert await world.are_done(2, within_s=40.0)
        assert sum(world.hinted.named) >= 80
        await world.stop()

    run_virtual(run())


# Guards against an executor that is born again under its id and is never
# asked for again, as its former life had been refused (related to case 6).
def test_new_incarnation_is_asked_for_again() -> None:
    hints = PlacementHints()
    step = StepName("j", 0, 0)
    hints.add_tickets(step, {"x": "t1"}, 4.0, now=1.0, asked=["x", "y"])
    world = PoolWorld()
    world.now = 2.0
    views = [world.add_executor("x"), world.add_executor("y")]
    assert hints.executors_to_query(step, views, 2.0) == []
    hints.forget_executor("x")
    hints.forget_executor("y")
    assert hints.ticket(step, "x", 2.0) is None
    assert sorted(hints.executors_to_query(step, views, 2.0)) == ["x", "y"]


# Guards against a ticket of an executor's former life (related to case 6).
def test_restart_of_an_executor_drops_its_tickets() -> None:
    world = PoolWorld()
    world.add_executor("x")
    step = StepName("j", 0, 0)
    hints = world.schedule.placement_hints
    hints.add_tickets(step, {"x": "t1"}, 4.0, world.now, ["x"])
    assert hints.ticket(step, "x", world.now) == "t1"
    world.report_tasks("x", born_ms=2)
    assert hints.ticket(step, "x", world.now) is None


# Guards against calls without limit for tickets that the service no longer
# renews, as it doesn't know the executors any more (related to case 6).
def test_tickets_that_are_not_renewed_are_asked_for_rarely() -> None:
    async def run() -> None:
        world = HintedWorld()
        await world.begin(executors=2, allowed=2)
        # Fills the executors, so that the other tasks wait.
        await world.hand_in(0, [StepSpec(count=60, cpu_millis=4000)])
        await asyncio.sleep(0.5)
        world.hinted.allowed.clear()
        await asyncio.sleep(VALID_S)
        calls = world.hinted.hint_calls
        await asyncio.sleep(10.0)
        assert 3 <= world.hinted.hint_calls - calls <= 12
        world.hinted.allowed = {"x0", "x1"}
        assert await world.are_done(1, within_s=60.0)
        await world.stop()

    run_virtual(run())
