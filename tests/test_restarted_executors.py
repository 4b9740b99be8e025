"""Executors that restart under their ids, on virtual time.

`RESTART_SEEDS` sets how many seeds are run of each case, `RESTART_FIRST` the
first one.
"""

from __future__ import annotations

import asyncio
import os
import random
from typing import TYPE_CHECKING, NamedTuple

import pytest

from lycheelug.workloads import StepSpec
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, ROUTE, PendingCalls, job_id, until
from tests.restarting_world import HINTED, RestartingWorld
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from lycheelug.jobservice.interfaces import Route

SEEDS = int(os.environ.get("RESTART_SEEDS", "2"))
FIRST_SEED = int(os.environ.get("RESTART_FIRST", "0"))
EXECUTORS = 4
RESTARTS = 8
JOBS = 10
# After the last restart, all jobs are completed within this time.
FINISHED_S = 40.0
# A job may be given up once as many executors have ended under a task.
LAWFUL_CRASHES = 2


class Case(NamedTuple):
    """What happens in a run, and what is run."""

    daemons: int = 1
    work_s: float = 1.5
    # For how long nobody listens, and what becomes of calls in progress.
    dark_s: float = 0.3
    pending_calls: PendingCalls = PendingCalls.PASS_ON
    # The share of the calls that are carried out late.
    late_share: float = 0.0
    # For how long an executor is cut off, and how soon after its restart.
    cut_s: float = 0.0
    cut_after_s: float = 0.8
    # How long the owner can't reach the store, around a restart.
    store_down_s: float = 0.0
    # Whether the owner can't reach the restarted executor.
    cuts_owner: bool = False
    # How much later the entry names the new incarnation.
    entry_lag_s: float = 0.0
    changes_kind: bool = False
    # Whether the list of hosts shows the executor as down for a while.
    is_listed_down: bool = False
    # Whether it drains before its restart.
    drains: bool = False
    step: StepSpec = StepSpec(count=3, cpu_millis=1000, estimate_ms=1500)
    route: Route = ROUTE


CASES = {
    "reset": Case(dark_s=0.05, pending_calls=PendingCalls.FAIL),
    "dark": Case(),
    "dark-short-tasks": Case(work_s=0.3),
    "dark-long": Case(dark_s=1.2),
    "hanging-calls": Case(pending_calls=PendingCalls.HANG),
    "hanging-calls-short-tasks": Case(
        work_s=0.2, pending_calls=PendingCalls.HANG
    ),
    "cut-after-restart": Case(work_s=4.0, cut_s=7.0),
    "cut-short-tasks": Case(work_s=0.4, cut_s=4.0),
    "several-daemons": Case(daemons=3),
    "takeover": Case(daemons=3, work_s=3.0, store_down_s=5.0),
    "takeover-short-tasks": Case(daemons=3, work_s=0.4, store_down_s=5.0),
    "takeover-cut": Case(
        daemons=3, work_s=4.0, store_down_s=5.0, cut_s=5.0, cut_after_s=0.3
    ),
    "deposed-owner-calls": Case(
        daemons=3, work_s=3.0, store_down_s=5.0, cuts_owner=True
    ),
    "other-kind": Case(changes_kind=True, entry_lag_s=1.5),
    "other-kind-labels": Case(
        changes_kind=True,
        entry_lag_s=1.0,
        step=StepSpec(count=3, cpu_millis=1000, required_label="a"),
    ),
    "entry-lags": Case(entry_lag_s=4.0),
    "listed-down": Case(dark_s=1.5, is_listed_down=True),
    "drained": Case(drains=True),
    "gang": Case(step=StepSpec(count=4, cpu_millis=1500, is_gang=True)),
    "gang-takeover": Case(
        daemons=3,
        store_down_s=5.0,
        step=StepSpec(count=4, cpu_millis=1500, is_gang=True),
    ),
    "checkpoints": Case(
        work_s=3.0,
        step=StepSpec(count=3, cpu_millis=1000, saves_checkpoints=True),
    ),
    "hinted": Case(route=HINTED),
    "duplicable": Case(
        cut_s=3.0, step=StepSpec(count=3, cpu_millis=1000, may_duplicate=True)
    ),
}
# Calls that are carried out late can do harm, for a moment after a restart,
# that nothing prevents; these seeds show none.
LATE_CASES = {
    "late": Case(late_share=0.03),
    "late-takeover": Case(
        daemons=3, work_s=2.0, store_down_s=5.0, late_share=0.03
    ),
    "late-hinted": Case(late_share=0.03, route=HINTED),
}


class Restarts:
    """One seeded run of a case."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.world = RestartingWorld(self.rng)

    async def run(self) -> None:
        case = self.case
        world = self.world
        await world.begin(case.daemons, EXECUTORS, case.work_s)
        world.restarting.late_share = case.late_share
        await until(lambda: len(world.holders()) == 1)
        submitting = asyncio.ensure_future(self.submit())
        for _ in range(RESTARTS):
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            await self.disturb()
        await submitting
        world.restarting.late_share = 0.0
        await self.check_completed()
        assert world.restarting.violations == []
        assert world.unacknowledged_ends() == 0
        await world.stop()

    async def submit(self) -> None:
        for number in range(1, JOBS + 1):
            assert await self.world.hand_in(
                number, [self.case.step], self.case.route
            )
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))

    async def disturb(self) -> None:
        """Restart an executor, with what else the case has."""
        case = self.case
        rng = self.rng
        world = self.world
        busy = [
            executor_id
            for executor_id, executor in world.fleet.executors.items()
            if executor.running and not executor.is_partitioned
        ]
        executor_id = rng.choice(busy or sorted(world.fleet.executors))
        holders = world.holders()
        if case.store_down_s and holders:
            world.spawn(self.disconnect_store(holders[0], executor_id))
            await asyncio.sleep(rng.uniform(0.0, case.store_down_s))
        if case.drains:
            world.fleet.executors[executor_id].info.draining = True
            world.publish(executor_id)
            await asyncio.sleep(rng.uniform(0.0, 1.5))
        dark_s = rng.uniform(0.0, 2 * case.dark_s)
        if case.is_listed_down:
            world.restarting.down.add(executor_id)
        executor = world.restart(
            executor_id,
            dark_s,
            case.pending_calls,
            rng.uniform(0.0, case.entry_lag_s),
            self.choose_kind(executor_id),
        )
        executor.info.draining = False
        if case.is_listed_down:
            await asyncio.sleep(dark_s)
            world.restarting.down.discard(executor_id)
        if case.cut_s:
            world.spawn(self.cut(executor_id, dark_s))

    def choose_kind(self, executor_id: str) -> str:
        """Return the kind of a next incarnation; two always stay wide."""
        if not self.case.changes_kind or executor_id in ("x0", "x1"):
            return ""
        return self.rng.choice(["wide", "narrow"])

    async def disconnect_store(self, owner: str, executor_id: str) -> None:
        """Cut the owner off from the store until it is replaced."""
        store = self.world.stores[owner]
        holder = self.world.daemons[owner].duties.held[POOL]
        partition = (getattr(holder, "term", 0), executor_id)
        store.down = True
        if self.case.cuts_owner:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            self.world.fleet.partitions.add(partition)
        await asyncio.sleep(self.case.store_down_s)
        store.down = False
        self.world.fleet.partitions.discard(partition)

    async def cut(self, executor_id: str, dark_s: float) -> None:
        """Cut an executor off from all daemons, soon after its restart."""
        case = self.case
        await asyncio.sleep(dark_s + self.rng.uniform(0, 2 * case.cut_after_s))
        executors = self.world.fleet.executors
        executors[executor_id].is_partitioned = True
        await asyncio.sleep(self.rng.uniform(0.5, 1.0) * case.cut_s)
        executors[executor_id].is_partitioned = False

    async def check_completed(self) -> None:
        """Check that all jobs complete in time, and all ends are taken."""
        waiting = set(range(1, JOBS + 1))
        async with asyncio.timeout(FINISHED_S):
            while waiting:
                await asyncio.sleep(0.2)
                for number in list(waiting):
                    reply = await self.world.daemons["e0"].submissions.state(
                        self.case.route, job_id(number)
                    )
                    if reply.state == JobState.FAILED:
                        assert self.crash_count(number) >= LAWFUL_CRASHES
                        waiting.discard(number)
                    elif reply.state == JobState.COMPLETED:
                        waiting.discard(number)
        await asyncio.sleep(3.0)

    def crash_count(self, number: int) -> int:
        """Return how many executors have ended under any task of a job."""
        counts = [0]
        for name, count in self.world.restarting.crashes.items():
            if name.job == job_id(number):
                counts.append(count)
        return max(counts)


def simulate(case: Case, seed: int) -> None:
    run_virtual(Restarts(case, seed).run())


# Guards against what one incarnation counts being used with the next.
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
@pytest.mark.parametrize("name", CASES)
def test_restarts_break_no_rule(name: str, seed: int) -> None:
    simulate(CASES[name], seed)


# Guards against calls that were meant for a former incarnation.
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
@pytest.mark.parametrize("name", LATE_CASES)
def test_late_calls_break_no_rule(name: str, seed: int) -> None:
    simulate(LATE_CASES[name], seed)


class Pause(NamedTuple):
    """A restart of a pool's only executor."""

    dark_s: float
    pending_calls: PendingCalls = PendingCalls.FAIL
    entry_lag_s: float = 0.0
    is_listed_down: bool = False
    # How soon it has to have a run after it is up and its entry names it.
    held_up_s: float = 1.0


PAUSES = {
    "reset": Pause(0.05),
    "passed-on": Pause(0.05, pending_calls=PendingCalls.PASS_ON),
    "hanging-calls": Pause(
        0.05, pending_calls=PendingCalls.HANG, held_up_s=2.0
    ),
    "dark": Pause(0.7, pending_calls=PendingCalls.PASS_ON),
    "dark-long": Pause(3.0),
    "entry-lags": Pause(0.3, entry_lag_s=2.0),
    "listed-down": Pause(2.0, is_listed_down=True),
}


# Guards against restarts that hold a pool up.
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
@pytest.mark.parametrize("name", PAUSES)
def test_restart_holds_the_pool_up_briefly(name: str, seed: int) -> None:
    pause = PAUSES[name]
    rng = random.Random(seed)

    async def run() -> None:
        world = RestartingWorld(rng)
        await world.begin(1, 1, 60.0)
        await until(lambda: len(world.holders()) == 1)
        assert await world.hand_in(1, [StepSpec(count=2, cpu_millis=1000)])
        await until(lambda: len(world.fleet.started) == 2)
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        if pause.is_listed_down:
            world.restarting.down.add("x0")
        executor = world.restart(
            "x0", pause.dark_s, pause.pending_calls, pause.entry_lag_s
        )
        await asyncio.sleep(pause.dark_s)
        world.restarting.down.discard("x0")
        await asyncio.sleep(pause.entry_lag_s + pause.held_up_s)
        assert len(executor.running) == 2
        assert world.restarting.violations == []
        await world.stop()

    run_virtual(run())
