"""A closed-loop load generator for a limited time.

Each connection sends its next request when the previous one is answered.
To save processor time, only the status and the length of an answer are
parsed.
"""

from __future__ import annotations

import asyncio
import time
from typing import Final

from hdrh.histogram import HdrHistogram

__all__ = ["LoadResult", "run_load"]

RESOLUTION_S: Final = 0.000_01
MAX_UNITS: Final = 6_000_000
HEAD_END: Final = b"\r\n\r\n"
LENGTH_HEADER: Final = b"content-length: "


class LoadResult:
    """The measurements of one run."""

    __slots__ = ("cpu_s", "errors", "histogram", "requests", "seconds")

    def __init__(self) -> None:
        self.requests = 0
        self.errors = 0
        self.seconds = 0.0
        # Processor time of the process under load.
        self.cpu_s = 0.0
        self.histogram = HdrHistogram(1, MAX_UNITS, 2)

    @property
    def per_second(self) -> float:
        """Answered requests per second."""
        return self.requests / self.seconds

    @property
    def cpu_us(self) -> float:
        """Processor time per request in microseconds."""
        return self.cpu_s / max(1, self.requests) * 1e6

    def quantile_ms(self, percent: float) -> float:
        """Return a percentile of the response time in milliseconds."""
        units = self.histogram.get_value_at_percentile(percent)
        return float(units) * RESOLUTION_S * 1000


async def run_load(
    address: str, request: bytes, connections: int, seconds: float
) -> LoadResult:
    """Send requests to an address for a number of seconds."""
    result = LoadResult()
    started = time.perf_counter()
    ends_at = started + seconds
    tasks = []
    for _ in range(connections):
        tasks.append(_load_connection(address, request, ends_at, result))
    await asyncio.gather(*tasks)
    result.seconds = time.perf_counter() - started
    return result


async def _load_connection(
    address: str, request: bytes, ends_at: float, result: LoadResult
) -> None:
    """Send requests on one connection until the time is over."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    while True:
        sent_at = time.perf_counter()
        if sent_at >= ends_at:
            break
        writer.write(request)
        head = (await reader.readuntil(HEAD_END)).lower()
        start = head.index(LENGTH_HEADER) + len(LENGTH_HEADER)
        length = int(head[start : head.index(b"\r\n", start)])
        await reader.readexactly(length)
        units = int((time.perf_counter() - sent_at) / RESOLUTION_S)
        result.histogram.record_value(max(1, units))
        if head.startswith(b"http/1.1 200"):
            result.requests += 1
        else:
            result.errors += 1
    writer.close()
