"""The published progress of maintenance waves."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from lycheelug.platform.hosts import PlatformHosts
from lycheelug.store.memory_rows import MemoryRows


# Guards against a planner that was replaced, and publishes a wave as running
# after its successor has published it as completed.
@pytest.mark.parametrize(
    ("published", "expected"),
    [
        pytest.param([False], "running", id="begun"),
        pytest.param([False, True], "completed", id="ended"),
        pytest.param([True, False], "completed", id="late"),
        pytest.param([False, False, True, False], "completed", id="repeated"),
    ],
)
def test_end_of_a_wave_is_not_replaced(
    published: list[bool], expected: str
) -> None:
    async def run() -> str:
        rows = MemoryRows()
        for is_completed in published:
            hosts = PlatformHosts("127.0.0.1:1", rows)
            assert await hosts.publish_wave(7, is_completed)
        (row,) = (await rows.read("status", "")).unwrap().rows
        assert row.key == "wave/7"
        state: str = msgspec.json.decode(row.value or b"")["state"]
        return state

    assert asyncio.run(run()) == expected
