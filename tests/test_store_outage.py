"""Holders of duties after the store was unreachable for all daemons alike."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from lycheelug.jobservice.tables import FLEET_PART, OWNER_ROW
from lycheelug.ownership import OwnerRecord
from tests.job_world import POOL, JobWorld, until
from tests.virtual_time import run_virtual


async def stored_terms(world: JobWorld) -> dict[str, int]:
    """Return the terms of all duties' stored owners."""
    terms: dict[str, int] = {}
    for duty in (POOL, FLEET_PART):
        read = await world.rows.read(OWNER_ROW.table, duty)
        (row,) = read.unwrap().rows
        record = msgspec.json.decode(row.value or b"", type=OwnerRecord)
        terms[duty] = record.term
    return terms


# Guards against new owners of all pools after each outage of the store: the
# first heartbeat after it says that the work fails.
@pytest.mark.parametrize("outage_s", [1.5, 3.0, 8.0, 8.13, 8.27, 20.0])
@pytest.mark.parametrize("daemons", [3, 12])
def test_no_duty_changes_hands_after_an_outage(
    outage_s: float, daemons: int
) -> None:
    async def run() -> None:
        world = JobWorld()
        for number in range(daemons):
            world.start_daemon(f"e{number}")
        await until(lambda: bool(world.holders(FLEET_PART)))
        await until(lambda: bool(world.holders()))
        await asyncio.sleep(3.0)
        for store in world.stores.values():
            store.down = True
        await asyncio.sleep(outage_s)
        for store in world.stores.values():
            store.down = False
        await asyncio.sleep(5.0)
        assert await stored_terms(world) == {POOL: 1, FLEET_PART: 1}
        await world.stop()

    run_virtual(run())
