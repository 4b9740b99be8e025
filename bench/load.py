"""A closed-loop load generator: each connection asks again when answered.

Bounded in time; parses only as much of an answer as its length needs.
"""

from __future__ import annotations

import asyncio
import time
from typing import Final

from hdrh.histogram import HdrHistogram

__all__ = ["LoadResult", "run_load"]

UNIT_S: Final = 0.000_01
MAX_UNITS: Final = 6_000_000
HEAD_END: Final = b"\r\n\r\n"
LENGTH: Final = b"content-length: "


class LoadResult:
    """What a run measured."""

    __slots__ = ("cpu_s", "errors", "histogram", "requests", "seconds")

    def __init__(self) -> None:
        self.requests = 0
        self.errors = 0
        self.seconds = 0.0
        # Processor time that the loaded process used.
        self.cpu_s = 0.0
        self.histogram = HdrHistogram(1, MAX_UNITS, 2)

    @property
    def per_second(self) -> float:
        """Answered requests a second."""
        return self.requests / self.seconds

    @property
    def cpu_us(self) -> float:
        """Processor time of one request in microseconds."""
        return self.cpu_s / max(1, self.requests) * 1e6

    def quantile_ms(self, percent: float) -> float:
        """Return a quantile of the answer time in milliseconds."""
        units = self.histogram.get_value_at_percentile(percent)
        return float(units) * UNIT_S * 1000


async def run_load(
    address: str, request: bytes, connections: int, seconds: float
) -> LoadResult:
    """Load an address for some seconds."""
    result = LoadResult()
    started = time.perf_counter()
    ends = started + seconds
    tasks = []
    for _ in range(connections):
        tasks.append(_one_connection(address, request, ends, result))
    await asyncio.gather(*tasks)
    result.seconds = time.perf_counter() - started
    return result


async def _one_connection(
    address: str, request: bytes, ends: float, result: LoadResult
) -> None:
    """Ask again and again on one connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    while True:
        began = time.perf_counter()
        if began >= ends:
            break
        writer.write(request)
        head = (await reader.readuntil(HEAD_END)).lower()
        start = head.index(LENGTH) + len(LENGTH)
        length = int(head[start : head.index(b"\r\n", start)])
        await reader.readexactly(length)
        units = int((time.perf_counter() - began) / UNIT_S)
        result.histogram.record_value(max(1, units))
        if head.startswith(b"http/1.1 200"):
            result.requests += 1
        else:
            result.errors += 1
    writer.close()
