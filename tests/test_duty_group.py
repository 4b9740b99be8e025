"""The duty group: who writes and reads heartbeats, at which cost.

What a daemon reads for control must not grow with the number of daemons,
and a group whose members all fail at once must be replaced by others.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.duties import CLAIM_TURN_S, SETTLE_S
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.ownership import DutyGroup, group_size
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, FaultyRows, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.memory_rows import MemoryRows
    from lycheelug.store.rows import HistoryGone, RowSet

# The stated limit of what a daemon may take for control.
CONTROL_BYTES_PER_S = 4_000
# What the store adds to a row's value: names, version and encoding.
ROW_BYTES = 120
CALL_BYTES = 200
# One pool, and the fleet plan.
DUTIES = 2
ZONES = 4
# The time in which the stated recovery after a failure of all is to be done.
RECOVERY_S = 15.0


class CountingRows(FaultyRows):
    """Counts the calls and bytes of one daemon by table."""

    __slots__ = ("bytes_read", "calls")

    def __init__(
        self, shared: MemoryRows, locks: dict[str, asyncio.Lock] | None = None
    ) -> None:
        super().__init__(shared, locks)
        self.bytes_read: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        result = await super().read(table, part, first, end)
        self._count(table, result.value_or(None))
        return result

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        result = await super().feed(table, after, wait_s)
        self._count(table, result.value_or(None))
        return result

    def _count(self, table: str, answer: object) -> None:
        self.calls[table] += 1
        self.bytes_read[table] += CALL_BYTES
        for row in getattr(answer, "rows", []):
            self.bytes_read[table] += len(row.value or b"") + ROW_BYTES


def start_daemons(world: JobWorld, count: int) -> None:
    """Start daemons in several zones, one in six with more capacity."""
    for number in range(count):
        world.start_daemon(
            f"e{number:03d}",
            weight=4.3 if number % 6 == 0 else 1.0,
            zone=f"z{number % ZONES}",
            store_class=CountingRows,
        )


def members(world: JobWorld) -> list[str]:
    """Return the daemons that write heartbeats."""
    return [
        name
        for name, service in world.daemons.items()
        if service.duties.heartbeats.is_member
    ]


@pytest.mark.parametrize("count", [1, 3, 8])
def test_few_daemons_are_all_members(count: int) -> None:
    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0")
        start_daemons(world, count)
        await until(lambda: len(members(world)) == count, 3.0)
        await until(lambda: len(world.holders()) == 1, 3.0)
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("count", [10, 30, 100])
def test_control_traffic_does_not_grow_with_the_daemons(count: int) -> None:
    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0")
        world.start_fleet()
        start_daemons(world, count)
        await asyncio.sleep(15.0)
        inside = members(world)
        size = group_size(DUTIES)
        assert min(size, count) <= len(inside) <= 2 * size + ZONES
        zones = {int(name[1:]) % ZONES for name in inside}
        assert zones == set(range(ZONES))
        for store in world.stores.values():
            assert isinstance(store, CountingRows)
            store.bytes_read.clear()
            store.calls.clear()
        span_s = 10.0
        await asyncio.sleep(span_s)
        for name, store in world.stores.items():
            assert isinstance(store, CountingRows)
            if name in inside:
                assert store.calls["daemons"] > 0
                continue
            assert not store.calls["daemons"]
            total = sum(store.bytes_read.values())
            assert total / span_s < CONTROL_BYTES_PER_S, store.bytes_read
        # A daemon outside the group serves callers as others do.
        outside = [name for name in world.daemons if name not in inside]
        if outside:
            reply = await world.submit(outside[0], 1)
            assert reply.kind is ReplyKind.OK
            async with asyncio.timeout(20):
                while await world.state(outside[0], 1) != JobState.COMPLETED:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        assert len(world.fleet.started) == (2 if outside else 0)
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("spared", [0, 1])
def test_group_is_replaced_when_its_members_fail_at_once(spared: int) -> None:
    async def run() -> None:
        world = JobWorld()
        for number in range(3):
            world.fleet.add(f"x{number}")
        world.start_fleet()
        start_daemons(world, 30)
        await asyncio.sleep(8.0)
        inside = members(world)
        assert len(inside) < 30
        outside = [name for name in world.daemons if name not in inside]
        assert (await world.submit(outside[0], 1)).kind is ReplyKind.OK
        for name in inside[spared:]:
            await world.daemons.pop(name).stop()
        began = asyncio.get_running_loop().time()

        def is_complete() -> bool:
            return len(members(world)) >= group_size(DUTIES)

        await until(lambda: len(world.holders(POOL)) == 1, RECOVERY_S)
        await until(is_complete, RECOVERY_S)
        assert asyncio.get_running_loop().time() - began < RECOVERY_S
        async with asyncio.timeout(RECOVERY_S):
            while await world.state(outside[0], 1) != JobState.COMPLETED:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        starts = Counter(run.name for run in world.fleet.started)
        assert set(starts.values()) == {1}
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("count", [3, 30])
def test_restart_of_all_changes_each_owner_once(count: int) -> None:
    """Rows of the daemons' last lives make them look like members."""

    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0")
        world.start_fleet()
        start_daemons(world, count)
        await asyncio.sleep(8.0)
        before = owner_term(world)
        for service in world.daemons.values():
            await service.stop()
        world.daemons.clear()
        await asyncio.sleep(0.4)
        start_daemons(world, count)
        for _ in range(800):
            await asyncio.sleep(0.01)
            assert set(world.holders(POOL)) <= set(members(world))
        assert len(world.holders(POOL)) == 1
        assert owner_term(world) == before + 1
        await world.stop()

    run_virtual(run())


def owner_term(world: JobWorld) -> int:
    """Return the newest term of the pool's owner that any daemon knows."""
    return max(
        service.duties.owners[POOL].term for service in world.daemons.values()
    )


def test_outage_of_the_store_makes_nobody_else_read_heartbeats() -> None:
    """Otherwise all daemons would read all rows when the store returns."""

    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0")
        start_daemons(world, 30)
        await asyncio.sleep(12.0)
        inside = set(members(world))
        for store in world.stores.values():
            store.down = True
        await asyncio.sleep(8.0)
        for store in world.stores.values():
            assert isinstance(store, CountingRows)
            store.down = False
            store.calls.clear()
        await asyncio.sleep(6.0)
        assert set(members(world)) == inside
        for name, store in world.stores.items():
            assert isinstance(store, CountingRows)
            assert name in inside or not store.calls["daemons"]
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("count", [3, 9, 30])
def test_duties_are_taken_as_soon_as_all_have_settled_after_a_restart(
    count: int,
) -> None:
    """Joining the group costs no further time."""

    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0")
        start_daemons(world, count)
        await asyncio.sleep(8.0)
        for service in world.daemons.values():
            await service.stop()
        world.daemons.clear()
        await asyncio.sleep(0.4)
        start_daemons(world, count)
        began = asyncio.get_running_loop().time()
        await until(lambda: len(world.holders(POOL)) == 1, 5.0)
        passed_s = asyncio.get_running_loop().time() - began
        assert passed_s < SETTLE_S + CLAIM_TURN_S
        await world.stop()

    run_virtual(run())


def test_daemons_that_leave_in_turn_are_replaced() -> None:
    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0")
        start_daemons(world, 20)
        await asyncio.sleep(8.0)
        for _ in range(8):
            name = members(world)[0]
            service = world.daemons.pop(name)
            await service.drain()
            await service.stop()
            await asyncio.sleep(1.3)
            assert len(world.holders(POOL)) == 1
        await asyncio.sleep(5.0)
        assert len(members(world)) >= group_size(DUTIES)
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize(
    ("zones", "should_join"),
    [
        (["z1"] * (group_size(DUTIES) - 1), True),
        (["z1"] * group_size(DUTIES), False),
        # No member is in this daemon's zone.
        (["z2"] * group_size(DUTIES), True),
    ],
)
def test_daemon_joins_a_group_that_needs_it(
    zones: list[str], should_join: bool
) -> None:
    group = DutyGroup("e0", "z1", 1.0)
    known = {f"m{number}": zone for number, zone in enumerate(zones)}
    assert not group.should_join(known, DUTIES, 10.0)
    assert group.should_join(known, DUTIES, 11.0) is should_join


@pytest.mark.parametrize(
    ("members_count", "own_weight", "is_alone", "should_leave"),
    [
        (2 * group_size(DUTIES) + 1, 0.5, False, True),
        (2 * group_size(DUTIES), 0.5, False, False),
        (2 * group_size(DUTIES) + 1, 9.0, False, False),
        # The only member of its zone stays.
        (2 * group_size(DUTIES) + 1, 0.5, True, False),
    ],
)
def test_surplus_member_with_the_least_capacity_leaves(
    members_count: int, own_weight: float, is_alone: bool, should_leave: bool
) -> None:
    group = DutyGroup("m0", "z1", own_weight)
    zones = {f"m{n}": "z2" if is_alone else "z1" for n in range(members_count)}
    zones["m0"] = "z1"
    weights = dict.fromkeys(zones, 1.0)
    weights["m0"] = own_weight
    assert group.should_leave(zones, weights, DUTIES) is should_leave
