"""Counters, and histograms for each tenant and class.

Times are recorded in units of 100 µs up to ten minutes, with two
significant digits: 8 KB a histogram, made at the first record.  The number
of histograms is bounded; what is over the bound goes to the tenant
`(other)`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = [
    "HistogramSummary",
    "Metrics",
    "Stage",
]

UNIT_S: Final = 0.0001
MAX_UNITS: Final = 6_000_000
SIGNIFICANT_DIGITS: Final = 2
COUNT_BYTES: Final = 4
MAX_SERIES: Final = 512
# Different values that wait to be recorded in one histogram.
MAX_PENDING: Final = 64
OTHER_TENANT: Final = "(other)"
QUANTILES: Final = (50.0, 90.0, 99.0, 99.9)
PREFIX: Final = "lycheelug"


class Stage(StrEnum):
    """What part of a request's time a histogram holds."""

    QUEUE = "queue"
    SERVICE = "service"
    TOTAL = "total"


class HistogramSummary(msgspec.Struct):
    """One histogram in figures, in seconds."""

    tenant: str
    request_class: str
    stage: str
    count: int
    p50_s: float
    p90_s: float
    p99_s: float
    p999_s: float
    max_s: float


class _Times:
    """One histogram, and values that it has not taken in yet.

    Equal values are counted in a dictionary and recorded together, which
    costs a fraction of recording each.
    """

    __slots__ = ("_histogram", "_pending")

    def __init__(self) -> None:
        self._histogram = _make_histogram()
        self._pending: dict[int, int] = {}

    @property
    def histogram(self) -> HdrHistogram:
        """The histogram of all values so far."""
        self._flush()
        return self._histogram

    def add(self, seconds: float) -> None:
        """Count one value."""
        pending = self._pending
        units = _units(seconds)
        pending[units] = pending.get(units, 0) + 1
        if len(pending) > MAX_PENDING:
            self._flush()

    def _flush(self) -> None:
        """Record the values that wait."""
        for units, count in self._pending.items():
            self._histogram.record_value(units, count)
        self._pending.clear()


class _Series:
    """The histograms of one tenant and class, one for each stage."""

    __slots__ = ("queue", "service", "total")

    def __init__(self) -> None:
        self.queue = _Times()
        self.service = _Times()
        self.total = _Times()

    def by_stage(self, stage: Stage) -> HdrHistogram:
        """Return the histogram of a stage."""
        if stage is Stage.QUEUE:
            return self.queue.histogram
        times = self.service if stage is Stage.SERVICE else self.total
        return times.histogram


class Metrics:
    """All counters and histograms of one daemon.

    >>> metrics = Metrics()
    >>> metrics.count("answered")
    >>> metrics.counters
    {'answered': 1}
    >>> for units in range(1, 201):
    ...     metrics.record("shop", "short", 0.0, units * UNIT_S, 1.0)
    >>> [row.count for row in metrics.summaries()]
    [200, 200, 200]
    >>> round(metrics.summaries()[1].p50_s, 4)
    0.01
    """

    __slots__ = ("_counters", "_series")

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._series: dict[tuple[str, str], _Series] = {}

    @property
    def counters(self) -> dict[str, int]:
        """The counters by name."""
        return dict(self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def record(
        self,
        tenant: str,
        request_class: str,
        queue_s: float,
        service_s: float,
        total_s: float,
    ) -> None:
        """Record the three times of one answered request."""
        series = self._find_series(tenant, request_class)
        series.queue.add(queue_s)
        series.service.add(service_s)
        series.total.add(total_s)

    def summaries(self) -> list[HistogramSummary]:
        """Return all histograms in figures, sorted by name."""
        rows: list[HistogramSummary] = []
        for (tenant, request_class), series in sorted(self._series.items()):
            for stage in Stage:
                rows.append(
                    _summarize(
                        tenant, request_class, stage, series.by_stage(stage)
                    )
                )
        return rows

    def exposition(self) -> str:
        """Return everything in the Prometheus text format, version 0.0.4."""
        lines: list[str] = []
        for name, value in sorted(self._counters.items()):
            metric = f"{PREFIX}_{_metric_name(name)}_total"
            lines.append(f"# TYPE {metric} counter")
            lines.append(f"{metric} {value}")
        metric = f"{PREFIX}_request_seconds"
        lines.append(f"# TYPE {metric} summary")
        for row in self.summaries():
            lines.extend(_summary_lines(metric, row))
        return "\n".join(lines) + "\n"

    def _find_series(self, tenant: str, request_class: str) -> _Series:
        """Return the series of a tenant and class, made if needed."""
        key = (tenant, request_class)
        series = self._series.get(key)
        if series is not None:
            return series
        if len(self._series) >= MAX_SERIES and tenant != OTHER_TENANT:
            return self._find_series(OTHER_TENANT, request_class)
        series = _Series()
        self._series[key] = series
        return series


def _make_histogram() -> HdrHistogram:
    """Return an empty histogram."""
    return HdrHistogram(
        1, MAX_UNITS, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES
    )


def _units(seconds: float) -> int:
    """Return a time in histogram units, at least one."""
    units = int(seconds / UNIT_S + 0.5)
    if units < 1:
        return 1
    return units if units < MAX_UNITS else MAX_UNITS


def _summarize(
    tenant: str, request_class: str, stage: Stage, histogram: HdrHistogram
) -> HistogramSummary:
    """Return a histogram in figures."""
    values: list[float] = []
    for quantile in QUANTILES:
        units = histogram.get_value_at_percentile(quantile)
        values.append(units * UNIT_S)
    return HistogramSummary(
        tenant=tenant,
        request_class=request_class,
        stage=stage.value,
        count=histogram.get_total_count(),
        p50_s=values[0],
        p90_s=values[1],
        p99_s=values[2],
        p999_s=values[3],
        max_s=histogram.get_max_value() * UNIT_S,
    )


def _summary_lines(metric: str, row: HistogramSummary) -> list[str]:
    """Return a histogram's lines in the text format."""
    labels = (
        f'tenant="{row.tenant}",class="{row.request_class}",'
        f'stage="{row.stage}"'
    )
    values = (row.p50_s, row.p90_s, row.p99_s, row.p999_s)
    lines: list[str] = []
    for quantile, value in zip(QUANTILES, values, strict=True):
        tag = f'quantile="{quantile / 100:g}"'
        lines.append(f"{metric}{{{labels},{tag}}} {value:.4f}")
    lines.append(f"{metric}_count{{{labels}}} {row.count}")
    return lines


def _metric_name(name: str) -> str:
    """Return a name in the characters that the text format allows.

    >>> _metric_name("not-run.queue-full")
    'not_run_queue_full'
    """
    return "".join(c if c.isalnum() else "_" for c in name)
