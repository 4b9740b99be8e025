"""Compares slot shares, dispatch choices, ejectors and retry budgets.

Settings are tuned on TUNING_SEEDS; the page reports EVALUATION_SEEDS only, so
that the comparison is not biased by the tuning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bench.experiment_registry import EXPERIMENTS, Page, markdown_table
from bench.pool_replay import (
    Fault,
    FaultKind,
    Freeze,
    Replay,
    ReplayConfig,
    surging_arrivals,
)
from lycheelug.dispatch import CHOICES
from lycheelug.ejection import EJECTORS
from lycheelug.retries import BUDGETS
from lycheelug.slots import SHARES

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bench.pool_replay import Stats

__all__ = ["EVALUATION_SEEDS", "TUNING_SEEDS", "share_page"]

TUNING_SEEDS: Final = (11, 12)
EVALUATION_SEEDS: Final = (101, 102)
# A pool of 8 executors with 8 slots serves 320 requests of 0.2 s a second.
MEAN_PER_S: Final = 96.0
DURATION_S: Final = 60.0
FAULT_START_S: Final = 10.0
FAULT_END_S: Final = 40.0


class _Totals:
    """The requests and statistics of one row, over all seeds."""

    __slots__ = ("requests", "stats")

    def __init__(self) -> None:
        self.requests = 0
        self.stats: list[Stats] = []

    def sum(self, measure: Callable[[Stats], float]) -> float:
        """Return the sum of a measure over the seeds."""
        return sum(measure(stats) for stats in self.stats)

    def count(self, measure: Callable[[Stats], float]) -> str:
        """Return the sum of a measure as a whole number."""
        return f"{self.sum(measure):,.0f}"

    def mean(self, measure: Callable[[Stats], float]) -> str:
        """Return the mean of a measure over the seeds."""
        return f"{self.sum(measure) / len(self.stats):,.0f}"


def _replay_seeds(
    config: ReplayConfig,
    surging: bool,
    skewed: bool,
    failing_share: float = 0.0,
) -> _Totals:
    """Replay a configuration with all evaluation seeds."""
    totals = _Totals()
    for seed in EVALUATION_SEEDS:
        arrivals = surging_arrivals(
            seed,
            DURATION_S,
            MEAN_PER_S,
            config.daemons,
            surging=surging,
            skewed=skewed,
            failing_share=failing_share,
        )
        totals.requests += len(arrivals)
        totals.stats.append(Replay(config, seed).run(arrivals))
    return totals


def _faults(kind: FaultKind, workers: Sequence[int]) -> list[Fault]:
    """Return one fault of a kind for each worker."""
    faults: list[Fault] = []
    for worker in workers:
        faults.append(Fault(worker, kind, FAULT_START_S, FAULT_END_S))
    return faults


def _slots_table() -> str:
    """Compare slot shares by number of daemons, with and without a freeze."""
    rows: list[list[str]] = []
    for daemons, frozen in (
        (1, False),
        (2, False),
        (2, True),
        (4, False),
        (4, True),
        (9, False),
        (9, True),
    ):
        freezes = [Freeze(0, 8.0, 30.0)] if frozen else []
        for share in SHARES:
            config = ReplayConfig(
                daemons=daemons, share=share, freezes=freezes
            )
            totals = _replay_seeds(config, surging=True, skewed=True)
            rows.append(
                [
                    str(daemons),
                    "yes" if frozen else "no",
                    share,
                    totals.count(lambda each: each.idle_waiting_slot_s),
                    totals.count(lambda each: each.refusals),
                    totals.count(lambda each: each.late),
                    f"{totals.requests:,}",
                ]
            )
    return markdown_table(
        [
            "daemons",
            "one frozen",
            "share",
            "slot-seconds idle while work waits",
            "refusals",
            "late",
            "requests",
        ],
        rows,
    )


def _choices_table() -> str:
    """Compare the dispatch choices under faults, without ejection."""
    cases: tuple[tuple[str, bool, list[Fault]], ...] = (
        ("none", False, []),
        ("surge", True, []),
        ("one slow", False, _faults(FaultKind.SLOW, (0,))),
        ("rack slow", False, _faults(FaultKind.SLOW, range(4))),
        ("one fails fast", False, _faults(FaultKind.FAIL, (0,))),
        ("one flaps", False, _faults(FaultKind.FLAP, (0,))),
        ("rack fails fast", False, _faults(FaultKind.FAIL, range(4))),
    )
    rows: list[list[str]] = []
    for name, surging, faults in cases:
        for choice in CHOICES:
            config = ReplayConfig(choice=choice, ejector="none", faults=faults)
            totals = _replay_seeds(config, surging=surging, skewed=False)
            rows.append(
                [
                    name,
                    choice,
                    totals.count(lambda each: len(each.failed_at)),
                    totals.count(lambda each: each.late),
                    totals.count(lambda each: each.refusals),
                    totals.mean(lambda each: each.latency_ms(0.5)),
                    totals.mean(lambda each: each.latency_ms(0.99)),
                ]
            )
    return markdown_table(
        ["fault", "choice", "lost", "late", "refused", "p50 ms", "p99 ms"],
        rows,
    )


def _ejectors_table() -> str:
    """Compare the ejectors under faulty hosts and failing jobs."""
    fail = FaultKind.FAIL
    cases: tuple[tuple[str, list[Fault], float, bool], ...] = (
        ("one host", _faults(fail, (0,)), 0.0, False),
        ("one host flaps", _faults(FaultKind.FLAP, (0,)), 0.0, False),
        ("a rack", _faults(fail, range(4)), 0.0, False),
        ("half, over racks", _faults(fail, (0, 1, 4, 5)), 0.0, False),
        ("six of eight", _faults(fail, range(6)), 0.0, False),
        ("all", _faults(fail, range(8)), 0.0, False),
        ("no host, 5 % jobs, retried", [], 0.05, True),
        ("no host, 20 % jobs, retried", [], 0.2, True),
        ("no host, 20 % jobs, once", [], 0.2, False),
        ("a rack, 20 % jobs, retried", _faults(fail, range(4)), 0.2, True),
    )
    rows: list[list[str]] = []
    for name, faults, failing_share, retrying in cases:
        for ejector in EJECTORS:
            config = ReplayConfig(
                choice="random",
                ejector=ejector,
                faults=faults,
                retrying=retrying,
                budget="free",
            )
            totals = _replay_seeds(config, False, False, failing_share)
            fewest = min(each.min_serving for each in totals.stats)
            rows.append(
                [
                    name,
                    ejector,
                    totals.count(lambda each: len(each.failed_at)),
                    totals.count(lambda each: each.late),
                    str(fewest),
                    totals.count(lambda each: each.healthy_ejections),
                    totals.count(lambda each: each.set_aside),
                    totals.count(lambda each: each.healthy_set_aside),
                ]
            )
    return markdown_table(
        [
            "what fails",
            "ejector",
            "lost",
            "late",
            "fewest hosts in service",
            "sound hosts ejected",
            "jobs set aside",
            "of them sound",
        ],
        rows,
    )


def _in_fault(times: Sequence[float]) -> int:
    """Return how many of the times lie within the fault."""
    return sum(1 for time_s in times if FAULT_START_S <= time_s < FAULT_END_S)


def _budgets_table() -> str:
    """Compare the retry budgets in outages."""
    cases = (
        ("all hosts", _faults(FaultKind.FAIL, range(8))),
        ("a rack", _faults(FaultKind.FAIL, range(4))),
        ("one host", _faults(FaultKind.FAIL, (0,))),
    )
    rows: list[list[str]] = []
    for name, faults in cases:
        for budget in BUDGETS:
            config = ReplayConfig(budget=budget, faults=faults, retrying=True)
            totals = _replay_seeds(config, surging=False, skewed=False)
            first = totals.sum(lambda each: _in_fault(each.first_tries_at))
            again = totals.sum(lambda each: _in_fault(each.retries_at))
            rows.append(
                [
                    name,
                    budget,
                    f"{first:,.0f}",
                    f"{again:,.0f}",
                    f"{100.0 * again / first:.1f} %",
                    totals.count(lambda each: len(each.failed_at)),
                ]
            )
    return markdown_table(
        ["outage", "budget", "first tries", "retries", "extra", "lost"], rows
    )


@EXPERIMENTS.register("share")
def share_page() -> Page:
    """Return the page with all comparisons of this module."""
    parts = [
        "# Slots, dispatch, ejection and retries: measured",
        "Written by `python -m bench.experiments share`; do not edit.",
        f"Judging seeds {EVALUATION_SEEDS}, tuning seeds {TUNING_SEEDS}. One"
        " pool of 8 executors with 8 slots and 4 to a rack; requests of"
        f" 0.2 s mean (log-normal), {MEAN_PER_S:.0f} a second on average"
        f" for {DURATION_S:.0f} s; 4 entry daemons unless said otherwise."
        " Figures are sums over the seeds, latencies their means. Late:"
        " not started within 2.9 s. Lost: ended in an error although the"
        " job could run. Faults last from 10 s to 40 s.",
        "## Slot shares",
        "Surges of 4 s to five times the mean; 40 % of the callers favour"
        " one daemon, another one in each 5 s. A frozen daemon stands from"
        " 8 s to 30 s; the others miss it after 3 s.",
        _slots_table(),
        "## Dispatch choices",
        "No ejection and no retries, so that the choice alone shows.",
        _choices_table(),
        "## Ejection",
        "Dispatch at random, so that the ejector alone shows; the floor is"
        " 4 hosts. Where jobs are retried, a job that can never run fails"
        " on each host that it is tried on.",
        _ejectors_table(),
        "## Retry budgets",
        "Default dispatch and ejection; every request may be repeated.",
        _budgets_table(),
    ]
    return Page("docs/EXPERIMENTS-SHARE.md", "\n\n".join(parts) + "\n")
