"""Run times of one pool, recorded as streaming quantiles.

Each pair of class and tenant and each class has a small histogram whose
bucket bounds grow by a factor of the square root of two.  When a histogram
is full, all its counts are halved, so older samples lose weight as newer
ones arrive.  A tenant with few samples gets the estimate of its class.  A
class with few samples has no estimate, so no request is refused for a run
time that was never measured.

Declared run times are not used.  A histogram takes 96 bytes of counts and
its quantiles have a relative error of up to about a fifth.
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
# Number of samples at which the counts of a histogram are halved.
MAX_SAMPLES: Final = 512
# Number of samples that an estimate requires.
MIN_SAMPLES: Final = 20
# Number of new samples after which an estimate is recomputed.
REFRESH_SAMPLES: Final = 8


class Estimate:
    """The expected run time: two quantiles and the mean."""

    __slots__ = ("high_quantile_s", "mean_s", "quantile_s")

    def __init__(
        self, quantile_s: float, high_quantile_s: float, mean_s: float
    ) -> None:
        self.quantile_s = quantile_s
        # A higher quantile, which is used during overload.
        self.high_quantile_s = high_quantile_s
        self.mean_s = mean_s


UNKNOWN: Final = Estimate(0.0, 0.0, 0.0)


class RunTimeHistogram:
    """A histogram of run times in which older samples lose weight.

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

    __slots__ = ("_count", "_counts", "_new_samples", "_sum_s", "estimate")

    def __init__(self) -> None:
        self._counts = array("H", bytes(2 * BUCKETS))
        self._count = 0
        self._sum_s = 0.0
        self._new_samples = 0
        # The estimate that was last computed.
        self.estimate = UNKNOWN

    @property
    def count(self) -> int:
        """The number of samples, reduced by each halving."""
        return self._count

    @property
    def mean_s(self) -> float:
        """The mean of the samples, weighted by age."""
        return self._sum_s / self._count if self._count else 0.0

    def record(self, seconds: float) -> None:
        """Add the run time of one run."""
        self._counts[_bucket(seconds)] += 1
        self._count += 1
        self._sum_s += seconds
        self._new_samples += 1
        if self._count >= MAX_SAMPLES:
            self._halve()

    def quantile(self, q: float) -> float:
        """Return the run time below which a share `q` of the samples lies."""
        rank = q * self._count
        if rank <= 0:
            return 0.0
        seen = 0
        for index, count in enumerate(self._counts):
            if count and seen + count >= rank:
                offset = (rank - seen) / count
                return _bound(index + offset)
            seen += count
        return _bound(BUCKETS)

    def current_estimate(self, q: float, high_q: float) -> Estimate:
        """Return the estimate; recompute it if enough samples are new."""
        if self._new_samples >= REFRESH_SAMPLES or self.estimate is UNKNOWN:
            self.estimate = Estimate(
                self.quantile(q), self.quantile(high_q), self.mean_s
            )
            self._new_samples = 0
        return self.estimate

    def _halve(self) -> None:
        """Halve all counts; keep the mean."""
        mean_s = self.mean_s
        for index, count in enumerate(self._counts):
            self._counts[index] = count >> 1
        self._count = sum(self._counts)
        self._sum_s = mean_s * self._count


class RunTimes:
    """The run times of a pool by class and tenant.

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
        """Use other quantiles for estimates that are computed from now on."""
        self._quantile = quantile
        self._high_quantile = high_quantile

    def record(
        self, request_class: RequestClass, tenant: str, seconds: float
    ) -> None:
        """Add the run time of one successful run."""
        class_times = self._by_class.get(request_class)
        if class_times is None:
            class_times = self._by_class[request_class] = RunTimeHistogram()
        class_times.record(seconds)
        key = (request_class, tenant)
        tenant_times = self._by_tenant.get(key)
        if tenant_times is None:
            tenant_times = self._by_tenant[key] = RunTimeHistogram()
        tenant_times.record(seconds)

    def estimate(self, request_class: RequestClass, tenant: str) -> Estimate:
        """Return the most specific estimate, or zeros if there is none."""
        tenant_times = self._by_tenant.get((request_class, tenant))
        if tenant_times is not None and tenant_times.count >= MIN_SAMPLES:
            return tenant_times.current_estimate(
                self._quantile, self._high_quantile
            )
        class_times = self._by_class.get(request_class)
        if class_times is not None and class_times.count >= MIN_SAMPLES:
            return class_times.current_estimate(
                self._quantile, self._high_quantile
            )
        return UNKNOWN


def _bucket(seconds: float) -> int:
    """Return the index of the bucket that contains a run time."""
    if seconds <= LOWEST_S:
        return 0
    index = int(log2(seconds / LOWEST_S) * BUCKETS_PER_OCTAVE)
    return min(index, BUCKETS - 1)


def _bound(index: float) -> float:
    """Return the run time at a (fractional) bucket index."""
    return LOWEST_S * float(2.0 ** (index / BUCKETS_PER_OCTAVE))
