"""Measured run times of one pool, as streaming quantiles.

Each (class, tenant) and each class has a small histogram whose buckets grow
by a factor of the square root of two.  When a histogram is full, all its
counts are halved, so that old samples fade by the number of newer ones.  A
tenant with few samples is judged by its class, and a class with few samples
has no estimate: what was never measured is never refused for its length.

Declared run times are not used.  A histogram holds 96 bytes of counts
and resolves a quantile to about a fifth.
"""

from __future__ import annotations

from array import array
from math import log2
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.requests import RequestClass

__all__ = ["Estimate", "RunTimeHistogram", "RunTimes"]

LOWEST_S: Final = 0.001
BUCKETS_PER_OCTAVE: Final = 2
BUCKETS: Final = 44
FULL_SAMPLES: Final = 512
MIN_SAMPLES: Final = 20
# An estimate is worked out anew after this many further samples.
REFRESH_SAMPLES: Final = 8


class Estimate:
    """What a run is expected to take."""

    __slots__ = ("high_quantile_s", "mean_s", "quantile_s")

    def __init__(
        self, quantile_s: float, high_quantile_s: float, mean_s: float
    ) -> None:
        self.quantile_s = quantile_s
        # A higher quantile, for times of overload.
        self.high_quantile_s = high_quantile_s
        self.mean_s = mean_s


UNKNOWN: Final = Estimate(0.0, 0.0, 0.0)


class RunTimeHistogram:
    """Counts of run times that fade as newer ones come in.

    >>> histogram = RunTimeHistogram()
    >>> for _ in range(90):
    ...     histogram.record(0.1)
    >>> for _ in range(10):
    ...     histogram.record(10.0)
    >>> 0.08 < histogram.quantile(0.5) < 0.13
    True
    >>> 8.0 < histogram.quantile(0.99) < 12.0
    True
    """

    __slots__ = ("_count", "_counts", "_fresh", "_sum_s", "estimate")

    def __init__(self) -> None:
        self._counts = array("H", bytes(2 * BUCKETS))
        self._count = 0
        self._sum_s = 0.0
        self._fresh = 0
        # The estimate last worked out.
        self.estimate = UNKNOWN

    @property
    def count(self) -> int:
        """How many samples the counts stand for, after fading."""
        return self._count

    @property
    def mean_s(self) -> float:
        """The mean of the samples, after fading."""
        return self._sum_s / self._count if self._count else 0.0

    def record(self, seconds: float) -> None:
        """Count one run."""
        self._counts[_bucket(seconds)] += 1
        self._count += 1
        self._sum_s += seconds
        self._fresh += 1
        if self._count >= FULL_SAMPLES:
            self._fade()

    def quantile(self, q: float) -> float:
        """Return the run time that a share `q` of the samples is under."""
        wanted = q * self._count
        if wanted <= 0:
            return 0.0
        seen = 0
        for index, count in enumerate(self._counts):
            if count and seen + count >= wanted:
                inside = (wanted - seen) / count
                return _bound(index + inside)
            seen += count
        return _bound(BUCKETS)

    def refreshed(self, q: float, high_q: float) -> Estimate:
        """Return the estimate, worked out anew every few samples."""
        if self._fresh >= REFRESH_SAMPLES or self.estimate is UNKNOWN:
            self.estimate = Estimate(
                self.quantile(q), self.quantile(high_q), self.mean_s
            )
            self._fresh = 0
        return self.estimate

    def _fade(self) -> None:
        """Halve all counts."""
        mean_s = self.mean_s
        for index, count in enumerate(self._counts):
            self._counts[index] = count >> 1
        self._count = sum(self._counts)
        self._sum_s = mean_s * self._count


class RunTimes:
    """Run times of a pool by class and tenant.

    >>> from lycheelug.requests import RequestClass
    >>> times = RunTimes(quantile=0.5, high_quantile=0.9)
    >>> times.estimate(RequestClass.SHORT, "shop").mean_s
    0.0
    >>> for _ in range(20):
    ...     times.record(RequestClass.SHORT, "shop", 2.0)
    >>> round(times.estimate(RequestClass.SHORT, "another").mean_s, 3)
    2.0
    """

    __slots__ = ("_by_class", "_by_tenant", "_high_quantile", "_quantile")

    def __init__(self, quantile: float, high_quantile: float) -> None:
        self._quantile = quantile
        self._high_quantile = high_quantile
        self._by_class: dict[RequestClass, RunTimeHistogram] = {}
        self._by_tenant: dict[tuple[RequestClass, str], RunTimeHistogram] = {}

    def reconfigure(self, quantile: float, high_quantile: float) -> None:
        """Estimate by other quantiles from the next samples on."""
        self._quantile = quantile
        self._high_quantile = high_quantile

    def record(
        self, request_class: RequestClass, tenant: str, seconds: float
    ) -> None:
        """Count one run that ended well."""
        of_class = self._by_class.get(request_class)
        if of_class is None:
            of_class = self._by_class[request_class] = RunTimeHistogram()
        of_class.record(seconds)
        key = (request_class, tenant)
        of_tenant = self._by_tenant.get(key)
        if of_tenant is None:
            of_tenant = self._by_tenant[key] = RunTimeHistogram()
        of_tenant.record(seconds)

    def estimate(self, request_class: RequestClass, tenant: str) -> Estimate:
        """Return the best known estimate; zeros where none is known."""
        of_tenant = self._by_tenant.get((request_class, tenant))
        if of_tenant is not None and of_tenant.count >= MIN_SAMPLES:
            return of_tenant.refreshed(self._quantile, self._high_quantile)
        of_class = self._by_class.get(request_class)
        if of_class is not None and of_class.count >= MIN_SAMPLES:
            return of_class.refreshed(self._quantile, self._high_quantile)
        return UNKNOWN


def _bucket(seconds: float) -> int:
    """Return the index of the bucket that holds a run time."""
    if seconds <= LOWEST_S:
        return 0
    index = int(log2(seconds / LOWEST_S) * BUCKETS_PER_OCTAVE)
    return min(index, BUCKETS - 1)


def _bound(index: float) -> float:
    """Return the run time at a (fractional) bucket index."""
    return LOWEST_S * float(2.0 ** (index / BUCKETS_PER_OCTAVE))
