"""Background tasks and feeds that meet an unexpected error."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from lycheelug.metrics import Metrics
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.replica import TableReplica
from lycheelug.store.rows import RowName, StoredRow
from lycheelug.supervision import RESTART_MAX_S, supervise
from tests.job_world import POOL, JobWorld, until
from tests.virtual_time import run_virtual


def test_failed_task_is_restarted_with_a_bounded_pause() -> None:
    async def run() -> None:
        metrics = Metrics()
        loop = asyncio.get_running_loop()
        began: list[float] = []

        async def work() -> None:
            began.append(loop.time())
            if len(began) < 12:
                raise ValueError("unexpected")

        await supervise("work", work, metrics)
        assert len(began) == 12
        pauses = [
            later - earlier for earlier, later in itertools.pairwise(began)
        ]
        assert max(pauses) <= RESTART_MAX_S + 0.01
        assert "defects" in metrics.exposition()

    run_virtual(run())


@pytest.mark.parametrize("key", ["a", "b", "c"])
def test_row_that_fails_does_not_keep_others_from_being_read(key: str) -> None:
    async def run() -> None:
        rows = MemoryRows()
        seen: list[str] = []

        def listen(row: StoredRow) -> None:
            if row.key == key:
                raise ValueError("unexpected")
            seen.append(row.key)

        replica = TableReplica(rows, "t", listen)
        task = asyncio.get_running_loop().create_task(replica.run())
        await replica.loaded.wait()
        for each in ("a", "b", "c"):
            name = RowName("t", each)
            await rows.commit("p", {}, {name: b"1"})
        await until(lambda: len(seen) == 2)
        assert key not in seen
        task.cancel()

    run_virtual(run())


@pytest.mark.parametrize(
    "method", ["write_periodically", "follow_peers", "zones"]
)
def test_daemon_survives_an_error_in_its_heartbeats(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """The first call fails; the daemon still gets its duties."""

    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0")
        service = world.start_daemon("e0")
        heartbeats = type(service.duties.heartbeats)
        original = getattr(heartbeats, method)
        calls = 0

        def failing(self: object, *args: object) -> object:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise ValueError("unexpected")
            return original(self, *args)

        monkeypatch.setattr(heartbeats, method, failing)
        await until(lambda: world.holders(POOL) == ["e0"])
        await world.stop()

    run_virtual(run())
