"""Estimates which kinds of tasks slow which others down; no I/O.

An observation is the logarithm of how much longer a run of a kind took than
expected, or of how far the response time of a serving task was from its
target, with the kinds that were beside it on its executor.  For each ordered
pair of kinds, the observations with the second kind present are compared
with those without it.  A pair interferes if the difference of the means is
large, and many standard errors above zero.

* A slow executor is told apart by what it does to all kinds: its mean
  deviation is subtracted, and a pair needs evidence from several executors.
* A kind that is often beside an interfering one is told apart by subtracting
  what the known pairs explain.
* Old observations weigh less with each new one.  Tasks that are kept apart
  bring none any more, so a pair is forgotten after `FORGET_S` and has to be
  found again.

The memory is bounded by `KINDS_MAX` kinds and `EXECUTORS_MAX` executors; the
least recently observed ones are dropped.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from lycheelug.interference.exposure import ABSENT_SHARE, PRESENT_SHARE
from lycheelug.interference.moments import Moments

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ["InterferenceEstimator", "PairChange"]

KINDS_MAX: Final = 48
EXECUTORS_MAX: Final = 512
# Observations on each side, and executors with the second kind present, that
# a pair needs.
OBSERVATIONS_MIN: Final = 12
PAIR_EXECUTORS_MIN: Final = 3
# A pair interferes if the difference is at least as many standard errors,
# and the slowdown at least this factor.
ERRORS_MIN: Final = 5.0
SLOWDOWN_MIN: Final = 1.12
# A known pair is dropped once its slowdown is below this factor.
SLOWDOWN_KEPT: Final = 1.05
# A pair without new evidence is forgotten after this time.
FORGET_S: Final = 60.0
# Weight, in observations, of the assumption that an executor is not slow.
EXECUTOR_PRIOR: Final = 6.0
# Observations further off are cut to this, as a run that was interrupted
# says little about its neighbors.
DEVIATION_MAX: Final = 1.5


class _Pair:
    """What is known of the effect of one kind on another."""

    __slots__ = ("absent", "executors", "present", "seen_at", "slowdown")

    def __init__(self) -> None:
        self.present = Moments()
        self.absent = Moments()
        # Executors with observations of the two together.
        self.executors: set[str] = set()
        # The logarithm of the slowdown while the pair interferes, else 0,
        # and the local time of the last evidence.
        self.slowdown = 0.0
        self.seen_at = 0.0


class PairChange:
    """A pair of kinds that was found to interfere, or no longer does."""

    __slots__ = ("by", "executors", "factor", "is_found", "runs", "slowed")

    def __init__(
        self,
        slowed: str,
        by: str,
        factor: float,
        runs: int,
        executors: int,
        is_found: bool,
    ) -> None:
        self.slowed = slowed
        self.by = by
        # How many times as long the slowed kind takes.
        self.factor = factor
        # The observations of the two together, and on how many executors.
        self.runs = runs
        self.executors = executors
        self.is_found = is_found


class InterferenceEstimator:
    """The pairs of kinds that interfere in one pool.

    >>> estimator = InterferenceEstimator()
    >>> for number in range(60):
    ...     executor = f"e{number % 5}"
    ...     beside = {"scan": 1.0} if number % 2 else {}
    ...     slow = 0.5 if number % 2 else 0.0
    ...     jitter = 0.02 * (number % 3)
    ...     estimator.observe("proof", executor, slow + jitter, beside, 0.0)
    >>> estimator.partners("proof"), estimator.partners("scan")
    (frozenset({'scan'}), frozenset({'proof'}))
    """

    __slots__ = (
        "_executors",
        "_kinds",
        "_pairs",
        "_partners",
        "_slowed_by",
        "changes",
    )

    def __init__(self) -> None:
        # Mean deviation of each executor, over all kinds.
        self._executors: OrderedDict[str, Moments] = OrderedDict()
        # All kinds that were observed or beside others; the values are
        # their mean deviations.
        self._kinds: OrderedDict[str, Moments] = OrderedDict()
        # Keyed by the slowed kind and the other one.
        self._pairs: dict[tuple[str, str], _Pair] = {}
        # The known pairs: the logarithms of the slowdowns of each kind.
        self._slowed_by: dict[str, dict[str, float]] = {}
        # By kind: those that slow it or that it slows.
        self._partners: dict[str, frozenset[str]] = {}
        # Pairs found or dropped since the caller last cleared this.
        self.changes: list[PairChange] = []

    @property
    def is_empty(self) -> bool:
        """Whether no pair is known to interfere."""
        return not self._slowed_by

    def partners(self, kind: str) -> frozenset[str]:
        """Return the kinds to keep apart from a kind."""
        return self._partners.get(kind, frozenset())

    def slowdown(self, slowed: str, by: str) -> float:
        """Return how many times as long a kind takes beside another."""
        return math.exp(self._slowed_by.get(slowed, {}).get(by, 0.0))

    def observe(
        self,
        kind: str,
        executor: str,
        deviation: float,
        beside: Mapping[str, float],
        now: float,
    ) -> None:
        """Record one observation.

        `deviation` is the logarithm of the observed time divided by the
        expected one; `beside` has the share of the time for which other
        kinds were there.
        """
        deviation = max(-DEVIATION_MAX, min(DEVIATION_MAX, deviation))
        own = self._touch_kind(kind)
        for other in beside:
            self._touch_kind(other)
        explained = 0.0
        known = self._slowed_by.get(kind, {})
        for other, slowdown in known.items():
            if beside.get(other, 0.0) >= PRESENT_SHARE:
                explained += slowdown
        speed = self._touch_executor(executor)
        certainty = speed.weight / (speed.weight + EXECUTOR_PRIOR)
        adjusted = deviation - certainty * speed.mean - explained
        for other in self._kinds:
            share = beside.get(other, 0.0)
            if ABSENT_SHARE < share < PRESENT_SHARE:
                continue
            pair = self._pairs.get((kind, other))
            if pair is None:
                if not share:
                    continue
                pair = self._pairs[kind, other] = _Pair()
            if share:
                pair.present.add(adjusted + known.get(other, 0.0))
                pair.seen_at = now
                if len(pair.executors) < PAIR_EXECUTORS_MIN:
                    pair.executors.add(executor)
                self._review(kind, other, pair)
            else:
                pair.absent.add(adjusted)
        speed.add(deviation - explained - (own.mean if own.weight else 0.0))
        own.add(deviation - explained - certainty * speed.mean)

    def forget_old(self, now: float) -> None:
        """Forget the known pairs without recent evidence."""
        for (slowed, by), pair in list(self._pairs.items()):
            if pair.slowdown and now - pair.seen_at > FORGET_S:
                self._drop(slowed, by, pair)
                del self._pairs[slowed, by]

    def export(self, now: float) -> dict[str, dict[str, list[float]]]:
        """Return the known pairs, for the pool's next owner.

        The values are the logarithm of the slowdown, and the age of the last
        evidence in steps of ten seconds.
        """
        found: dict[str, dict[str, list[float]]] = {}
        for slowed, others in sorted(self._slowed_by.items()):
            for by in sorted(others):
                pair = self._pairs[slowed, by]
                age_s = (now - pair.seen_at) // 10 * 10
                found.setdefault(slowed, {})[by] = [
                    round(pair.slowdown, 1),
                    max(0.0, age_s),
                ]
        return found

    def restore(
        self, pairs: Mapping[str, Mapping[str, Sequence[float]]], now: float
    ) -> None:
        """Restore the pairs that an earlier owner exported.

        Entries with the wrong number of values are ignored.
        """
        for slowed, others in pairs.items():
            for by, values in others.items():
                if len(values) != 2 or values[0] <= 0:
                    continue
                if len(self._pairs) >= KINDS_MAX * KINDS_MAX:
                    return
                self._touch_kind(slowed)
                self._touch_kind(by)
                pair = self._pairs.setdefault((slowed, by), _Pair())
                pair.slowdown = min(DEVIATION_MAX, values[0])
                pair.seen_at = now - max(0.0, values[1])
        self._index()

    # --- Implementation.

    def _review(self, slowed: str, by: str, pair: _Pair) -> None:
        """Decide anew whether a pair interferes."""
        present, absent = pair.present, pair.absent
        if min(present.weight, absent.weight) < OBSERVATIONS_MIN:
            return
        difference = present.mean - absent.mean
        if pair.slowdown:
            if difference < math.log(SLOWDOWN_KEPT):
                self._drop(slowed, by, pair)
            else:
                pair.slowdown = difference
                self._slowed_by[slowed][by] = difference
            return
        if len(pair.executors) < PAIR_EXECUTORS_MIN:
            return
        if difference < math.log(SLOWDOWN_MIN):
            return
        error = math.sqrt(present.squared_error + absent.squared_error)
        if difference < ERRORS_MIN * error:
            return
        pair.slowdown = difference
        self._report(slowed, by, pair, is_found=True)
        self._index()

    def _drop(self, slowed: str, by: str, pair: _Pair) -> None:
        """Record that a known pair no longer interferes."""
        self._report(slowed, by, pair, is_found=False)
        pair.slowdown = 0.0
        self._index()

    def _report(
        self, slowed: str, by: str, pair: _Pair, is_found: bool
    ) -> None:
        """Add a change for the log."""
        self.changes.append(
            PairChange(
                slowed,
                by,
                math.exp(pair.slowdown),
                int(pair.present.weight),
                len(pair.executors),
                is_found,
            )
        )

    def _index(self) -> None:
        """Compute what is looked up in each placement."""
        self._slowed_by = {}
        partners: dict[str, set[str]] = {}
        for (slowed, by), pair in self._pairs.items():
            if not pair.slowdown:
                continue
            self._slowed_by.setdefault(slowed, {})[by] = pair.slowdown
            partners.setdefault(slowed, set()).add(by)
            partners.setdefault(by, set()).add(slowed)
        self._partners = {
            kind: frozenset(others) for kind, others in partners.items()
        }

    def _touch_kind(self, kind: str) -> Moments:
        """Return a kind's deviations; drop the oldest kind if it is new."""
        known = self._kinds.get(kind)
        if known is not None:
            self._kinds.move_to_end(kind)
            return known
        self._kinds[kind] = Moments()
        if len(self._kinds) > KINDS_MAX:
            oldest, _ = self._kinds.popitem(last=False)
            for names in list(self._pairs):
                if oldest in names:
                    del self._pairs[names]
            self._index()
        return self._kinds[kind]

    def _touch_executor(self, executor: str) -> Moments:
        """Return an executor's deviations; drop the oldest if it is new."""
        known = self._executors.get(executor)
        if known is not None:
            self._executors.move_to_end(executor)
            return known
        self._executors[executor] = Moments()
        if len(self._executors) > EXECUTORS_MAX:
            self._executors.popitem(last=False)
        return self._executors[executor]
