"""Logs at intervals how loaded a daemon's event loop and link are.

An answer that waits in a late event loop and one that waits on a full link
both look like a call without an answer.  The delay of the loop and the
bytes of each table tell them apart.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.metrics import Metrics
    from lycheelug.store.traffic import StoreTraffic

__all__ = ["LoadMonitor"]

# How often the delay of the event loop is measured.
SAMPLE_S: Final = 0.1
# How often a line is written.
REPORT_S: Final = 2.0
# The tables and interfaces named in a line, those with the most bytes first.
SUBJECTS_MAX: Final = 4


class LoadMonitor:
    """Reports the load of one daemon until cancelled."""

    __slots__ = ("_before", "_duties", "_metrics", "_traffic")

    def __init__(
        self,
        traffic: StoreTraffic,
        metrics: Metrics,
        duties: Callable[[], list[str]],
    ) -> None:
        self._traffic = traffic
        self._metrics = metrics
        # Returns the duties that this daemon holds.
        self._duties = duties
        # Bytes and failures by subject at the last report.
        self._before: dict[str, tuple[int, int, int]] = {}

    async def run(self) -> None:
        """Measure and report until cancelled."""
        loop = asyncio.get_running_loop()
        cpu_before = time.process_time()
        while True:
            delay_s = 0.0
            began = loop.time()
            while loop.time() - began < REPORT_S:
                slept_at = loop.time()
                await asyncio.sleep(SAMPLE_S)
                late_s = loop.time() - slept_at - SAMPLE_S
                delay_s = max(delay_s, late_s)
            cpu = time.process_time()
            self._report(
                loop.time() - began, delay_s, max(0.0, cpu - cpu_before)
            )
            cpu_before = cpu

    def _report(self, elapsed_s: float, delay_s: float, cpu_s: float) -> None:
        """Log one interval and add it to the counters."""
        moved: list[tuple[int, int, int, str]] = []
        for subject, count in self._traffic.by_subject.items():
            now = (count.bytes_in, count.bytes_out, count.failures)
            before = self._before.get(subject, (0, 0, 0))
            self._before[subject] = now
            received, sent, failed = (
                new - old for new, old in zip(now, before, strict=True)
            )
            self._metrics.count(f"bytes-in-{subject}", received)
            self._metrics.count(f"bytes-out-{subject}", sent)
            self._metrics.count(f"failed-calls-{subject}", failed)
            moved.append((received, sent, failed, subject))
        moved.sort(key=lambda each: each[0] + each[1], reverse=True)
        log_change(
            "load",
            duties=self._duties(),
            loop_delay_ms=round(delay_s * 1000),
            cpu_ms=round(cpu_s * 1000),
            elapsed_ms=round(elapsed_s * 1000),
            kb_in=sum(each[0] for each in moved) // 1000,
            kb_out=sum(each[1] for each in moved) // 1000,
            failed_calls=sum(each[2] for each in moved),
            most={
                subject: [received // 1000, sent // 1000]
                for received, sent, _, subject in moved[:SUBJECTS_MAX]
            },
        )
