"""Bytes of the platform's list of hosts, which is read whole each time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Success

from lycheelug.fleetplan import HostInfo, HostState, MaintenanceWave
from lycheelug.jobservice.tables import FLEET_PART
from tests.job_world import CAPACITY, POOL, FakeFleet, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.errors import Fault

ENTRY_BYTES = 250
# A tenth of a link of 10 Mbit/s.
BUSY_BYTES_PER_S = 125_000


class ListedFleet(FakeFleet):
    """A platform with many hosts that counts the reads of its list."""

    def __init__(self, hosts: int) -> None:
        super().__init__()
        self.names = [f"h-x{number}" for number in range(hosts)]
        self.reads = 0

    async def hosts(self) -> Result[list[HostInfo], Fault]:
        self.reads += 1
        return Success(
            [
                HostInfo(
                    name,
                    POOL,
                    HostState.UP,
                    capacity=CAPACITY,
                    executor_id=name[2:],
                )
                for name in self.names
            ]
        )

    def take_rate(self, seconds: float) -> float:
        """Return the bytes a second since the last call."""
        rate = self.reads * len(self.names) * ENTRY_BYTES / seconds
        self.reads = 0
        return rate


# Guards against a fleet owner whose link is full of lists of hosts, so that
# its other calls end without an answer.
@pytest.mark.parametrize(
    ("hosts", "is_busy", "expected_reads"),
    [
        pytest.param(60, True, 25, id="small"),
        pytest.param(350, True, 9, id="grown"),
        pytest.param(60, False, 5, id="small-idle"),
        pytest.param(350, False, 2, id="grown-idle"),
    ],
)
def test_fleet_owner_reads_long_lists_less_often(
    hosts: int, is_busy: bool, expected_reads: int
) -> None:
    async def run() -> None:
        world = JobWorld()
        fleet = ListedFleet(hosts)
        world.fleet = fleet
        service = world.start_daemon("e0")
        await until(lambda: len(world.holders(FLEET_PART)) == 1)
        for number in range(hosts if is_busy else 0):
            fleet.add(f"x{number}")
            info = fleet.executors[f"x{number}"].info
            service.update_executor(info.executor_id, info)
        if is_busy:
            service.update_wave(MaintenanceWave(1, fleet.names, 60.0, 5, 1))
        await asyncio.sleep(3.0)
        fleet.take_rate(1.0)
        await asyncio.sleep(10.0)
        reads = fleet.reads
        rate = fleet.take_rate(10.0)
        print(f"{hosts} hosts, busy {is_busy}: {rate:.0f} B/s")
        assert rate < BUSY_BYTES_PER_S
        assert expected_reads - 2 <= reads <= expected_reads + 1
        await world.stop()

    run_virtual(run())


# Guards against waves that end late because the end of each maintenance is
# seen late, though the host's link would bear to look more often.
def test_fleet_owner_on_a_large_host_reads_long_lists_in_time() -> None:
    async def run() -> None:
        world = JobWorld()
        fleet = ListedFleet(350)
        world.fleet = fleet
        service = world.start_daemon("e0", weight=4.0)
        await until(lambda: len(world.holders(FLEET_PART)) == 1)
        for number in range(350):
            fleet.add(f"x{number}")
            info = fleet.executors[f"x{number}"].info
            service.update_executor(info.executor_id, info)
        service.update_wave(MaintenanceWave(1, fleet.names, 60.0, 5, 1))
        await asyncio.sleep(3.0)
        fleet.reads = 0
        await asyncio.sleep(10.0)
        assert fleet.reads >= 20
        await world.stop()

    run_virtual(run())


# Guards against a full link at the owner of a pool of which a zone is cut off.
# The idle fleet owner reads the list too.
@pytest.mark.parametrize(
    ("hosts", "expected_reads"),
    [pytest.param(60, 24, id="small"), pytest.param(350, 8, id="grown")],
)
def test_pool_owner_reads_long_lists_less_often(
    hosts: int, expected_reads: int
) -> None:
    async def run() -> None:
        world = JobWorld()
        fleet = ListedFleet(hosts)
        world.fleet = fleet
        fleet.add("x0").is_partitioned = True
        service = world.start_daemon("e0")
        await until(lambda: len(world.holders(FLEET_PART)) == 1)
        await asyncio.sleep(3.0)
        fleet.take_rate(1.0)
        await asyncio.sleep(10.0)
        assert service.owns_pools
        assert expected_reads - 1 <= fleet.reads <= expected_reads + 1
        rate = fleet.take_rate(10.0)
        print(f"{hosts} hosts: {rate:.0f} B/s")
        assert rate < BUSY_BYTES_PER_S
        await world.stop()

    run_virtual(run())
