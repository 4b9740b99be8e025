"""Measures store calls, bytes and processor time of claims and long jobs.

Run it with `python -m bench.store_costs`.  It uses the in-memory platform,
so the processor time includes that of the table, and no network.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final

from lycheelug.claims import Claim, ClaimStore
from lycheelug.jobs import JobRequest, JobStore
from standins.faults import FaultyPlatform, RecordingPlatform

if TYPE_CHECKING:
    from lycheelug.store import Row

COUNT: Final = 2_000
DIGEST: Final = "d" * 64
RUN: Final = "5f0c3a9d2b7e4411"
HEADERS: Final = [(b"content-type", b"application/json")]
BODY: Final = b"x" * 200


class _CostMeter:
    """Prints the cost per item of the work since its last report."""

    __slots__ = ("_calls", "_platform", "_started")

    def __init__(self, platform: FaultyPlatform) -> None:
        self._platform = platform
        self._calls = dict(platform.calls)
        self._started = time.process_time()

    def report(self, label: str) -> None:
        """Print the costs since the last report, or since the start."""
        spent_us = (time.process_time() - self._started) / COUNT * 1e6
        calls: list[str] = []
        for name, count in sorted(self._platform.calls.items()):
            each = (count - self._calls.get(name, 0)) / COUNT
            if each:
                calls.append(f"{name} {each:.2f}")
        print(f"{label}: {spent_us:.0f} us, {', '.join(calls)}")
        self._calls = dict(self._platform.calls)
        self._started = time.process_time()


def _show_bytes(label: str, rows: list[Row]) -> None:
    """Print the mean size of rows, including their keys."""
    size = 0
    for row in rows:
        size += len(row.key) + len(row.value or b"")
    print(f"{label}: {size / len(rows):.0f} bytes")


async def _claims() -> None:
    platform = FaultyPlatform(RecordingPlatform())
    store = ClaimStore(
        platform, "chaguanas-1", RUN, time.time, random.Random(1)
    )
    claims: list[Claim] = []
    meter = _CostMeter(platform)
    for number in range(COUNT):
        result = await store.claim("guild", str(number), DIGEST, time.time())
        claim = result.unwrap()
        assert isinstance(claim, Claim)
        claims.append(claim)
    meter.report("fresh claim")
    _show_bytes("claimed row", platform.inner.rows("claim/"))
    meter = _CostMeter(platform)
    for claim in claims:
        await store.record(claim, 200, HEADERS, BODY)
    meter.report("record of a 200-byte answer")
    _show_bytes("recorded row", platform.inner.rows("claim/"))
    meter = _CostMeter(platform)
    for number in range(COUNT):
        await store.claim("guild", str(number), DIGEST, time.time())
    meter.report("repeated arrival")


async def _jobs() -> None:
    platform = FaultyPlatform(RecordingPlatform())
    store = JobStore(platform, "chaguanas-1", RUN, time.time, random.Random(1))
    request = JobRequest("POST", "/print", [], BODY)
    meter = _CostMeter(platform)
    for number in range(COUNT):
        await store.submit(f"t{number % 42}", "press", request, time.time())
    meter.report("job submitted")
    _show_bytes("job row", platform.inner.rows("job/"))
    _show_bytes("waiting row", platform.inner.rows("waiting/"))
    meter = _CostMeter(platform)
    for _ in range(COUNT):
        claim = (await store.claim_next("press")).unwrap()
        assert claim is not None
        await store.dispatch(claim)
        await store.report_done(claim, 200, HEADERS, BODY)
    meter.report("job taken, dispatched and done")
    _show_bytes("finished job row", platform.inner.rows("job/"))


def main() -> None:
    """Print all costs."""
    asyncio.run(_claims())
    asyncio.run(_jobs())


if __name__ == "__main__":
    main()
