"""What claims and long jobs cost: calls, bytes and processor time.

Runs against the platform in memory, so the processor time is that of the
daemon and of the table together, without any network.  Run it with
`python -m bench.store_costs`.
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


class _Meter:
    """Prints what a stretch of work cost for each of its items."""

    __slots__ = ("_calls", "_platform", "_started")

    def __init__(self, platform: FaultyPlatform) -> None:
        self._platform = platform
        self._calls = dict(platform.calls)
        self._started = time.process_time()

    def show(self, what: str) -> None:
        """Print the costs since the last time, or since the start."""
        spent_us = (time.process_time() - self._started) / COUNT * 1e6
        calls: list[str] = []
        for name, count in sorted(self._platform.calls.items()):
            each = (count - self._calls.get(name, 0)) / COUNT
            if each:
                calls.append(f"{name} {each:.2f}")
        print(f"{what}: {spent_us:.0f} us, {', '.join(calls)}")
        self._calls = dict(self._platform.calls)
        self._started = time.process_time()


def _show_bytes(what: str, rows: list[Row]) -> None:
    """Print the mean size of rows, keys included."""
    size = 0
    for row in rows:
        size += len(row.key) + len(row.value or b"")
    print(f"{what}: {size / len(rows):.0f} bytes")


async def _claims() -> None:
    platform = FaultyPlatform(RecordingPlatform())
    book = ClaimStore(
        platform, "chaguanas-1", RUN, time.time, random.Random(1)
    )
    held: list[Claim] = []
    meter = _Meter(platform)
    for number in range(COUNT):
        claimed = await book.claim("guild", str(number), DIGEST, time.time())
        answer = claimed.unwrap()
        assert isinstance(answer, Claim)
        held.append(answer)
    meter.show("fresh claim")
    _show_bytes("claimed row", platform.inner.rows("claim/"))
    meter = _Meter(platform)
    for answer in held:
        await book.record(answer, 200, HEADERS, BODY)
    meter.show("record of a 200-byte answer")
    _show_bytes("recorded row", platform.inner.rows("claim/"))
    meter = _Meter(platform)
    for number in range(COUNT):
        await book.claim("guild", str(number), DIGEST, time.time())
    meter.show("repeated arrival")


async def _jobs() -> None:
    platform = FaultyPlatform(RecordingPlatform())
    book = JobStore(platform, "chaguanas-1", RUN, time.time, random.Random(1))
    request = JobRequest("POST", "/print", [], BODY)
    meter = _Meter(platform)
    for number in range(COUNT):
        await book.submit(f"t{number % 42}", "press", request, time.time())
    meter.show("job submitted")
    _show_bytes("job row", platform.inner.rows("job/"))
    _show_bytes("waiting row", platform.inner.rows("waiting/"))
    meter = _Meter(platform)
    for _ in range(COUNT):
        claim = (await book.claim_next("press")).unwrap()
        assert claim is not None
        await book.dispatch(claim)
        await book.report_done(claim, 200, HEADERS, BODY)
    meter.show("job taken, dispatched and done")
    _show_bytes("finished job row", platform.inner.rows("job/"))


def main() -> None:
    """Print all costs."""
    asyncio.run(_claims())
    asyncio.run(_jobs())


if __name__ == "__main__":
    main()
