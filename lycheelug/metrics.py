"""Counters, and latency histograms for each tenant and request class.

Durations are recorded in units of 100 µs up to ten minutes, with two
significant digits.  A histogram takes 8 KB and is created when its first
value is recorded.  The number of histograms is bounded; beyond the bound,
values are recorded for the tenant `(other)`.
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
# Largest number of distinct values that are buffered per histogram.
MAX_PENDING: Final = 64
# Tenants beyond this number share their counters.
MAX_COUNTED_TENANTS: Final = 64
OTHER_TENANT: Final = "(other)"
QUANTILES: Final = (50.0, 90.0, 99.0, 99.9)
PREFIX: Final = "lycheelug"


class Stage(StrEnum):
    """The part of a request's duration that a histogram records."""

    QUEUE = "queue"
    SERVICE = "service"
    TOTAL = "total"


class HistogramSummary(msgspec.Struct):
    """Count, quantiles and maximum of a histogram, in seconds."""

    tenant: str
    request_class: str
    stage: str
    count: int
    p50_s: float
    p90_s: float
    p99_s: float
    p999_s: float
    max_s: float


class _BufferedHistogram:
    """A histogram with a buffer of values that are not yet recorded.

    Equal values are counted in a dictionary and recorded together, which
    is much cheaper than recording each value.
    """

    __slots__ = ("_histogram", "_pending")

    def __init__(self) -> None:
        self._histogram = _make_histogram()
        self._pending: dict[int, int] = {}

    @property
    def histogram(self) -> HdrHistogram:
        """The histogram, including the buffered values."""
        self._flush()
        return self._histogram

    def add(self, seconds: float) -> None:
        """Add one value to the buffer."""
        pending = self._pending
        units = _units(seconds)
        pending[units] = pending.get(units, 0) + 1
        if len(pending) > MAX_PENDING:
            self._flush()

    def _flush(self) -> None:
        """Record the buffered values in the histogram."""
        for units, count in self._pending.items():
            self._histogram.record_value(units, count)
        self._pending.clear()


class _Series:
    """The histograms of one tenant and class, one per stage."""

    __slots__ = ("queue", "service", "total")

    def __init__(self) -> None:
        self.queue = _BufferedHistogram()
        self.service = _BufferedHistogram()
        self.total = _BufferedHistogram()

    def by_stage(self, stage: Stage) -> HdrHistogram:
        """Return the histogram of a stage."""
        if stage is Stage.QUEUE:
            return self.queue.histogram
        buffered = self.service if stage is Stage.SERVICE else self.total
        return buffered.histogram


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

    __slots__ = ("_counted_tenants", "_counters", "_series")

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        # The tenants that have counters of their own.
        self._counted_tenants: set[str] = set()
        self._series: dict[tuple[str, str], _Series] = {}

    @property
    def counters(self) -> dict[str, int]:
        """A copy of the counters by name."""
        return dict(self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def count_tenant(self, name: str, tenant: str, amount: int = 1) -> None:
        """Add to a tenant's counter; the number of tenants is bounded."""
        known = self._counted_tenants
        if tenant not in known and len(known) >= MAX_COUNTED_TENANTS:
            tenant = OTHER_TENANT
        known.add(tenant)
        self.count(f"{name}-of-{tenant}", amount)

    def record(
        self,
        tenant: str,
        request_class: str,
        queue_s: float,
        service_s: float,
        total_s: float,
    ) -> None:
        """Record the durations of the three stages of an answered request."""
        series = self._find_series(tenant, request_class)
        series.queue.add(queue_s)
        series.service.add(service_s)
        series.total.add(total_s)

    def summaries(self) -> list[HistogramSummary]:
        """Return the summaries of all histograms, by tenant and class."""
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
        """Return all metrics in the Prometheus text format, version 0.0.4."""
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
        """Return the series of a tenant and class; create it if missing."""
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
    """Return a duration in histogram units, within the histogram's range."""
    units = int(seconds / UNIT_S + 0.5)
    if units < 1:
        return 1
    return units if units < MAX_UNITS else MAX_UNITS


def _summarize(
    tenant: str, request_class: str, stage: Stage, histogram: HdrHistogram
) -> HistogramSummary:
    """Return the summary of a histogram."""
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
    """Return the lines of a summary in the Prometheus text format."""
    labels = (
        f'tenant="{row.tenant}",class="{row.request_class}",'
        f'stage="{row.stage}"'
    )
    values = (row.p50_s, row.p90_s, row.p99_s, row.p999_s)
    lines: list[str] = []
    for quantile, value in zip(QUANTILES, values, strict=True):
        quantile_label = f'quantile="{quantile / 100:g}"'
        lines.append(f"{metric}{{{labels},{quantile_label}}} {value:.4f}")
    lines.append(f"{metric}_count{{{labels}}} {row.count}")
    return lines


def _metric_name(name: str) -> str:
    """Replace the characters that the Prometheus format does not allow.

    >>> _metric_name("not-run.queue-full")
    'not_run_queue_full'
    """
    return "".join(c if c.isalnum() else "_" for c in name)
