"""Compares capacity policies and plots their trade-off.

Settings are tuned on TUNING_SEED; the page reports EVALUATION_SEEDS only, so
that the comparison is not biased by the tuning.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING, Final

import matplotlib as mpl
from matplotlib.figure import Figure

from bench.demand_replay import CapacityReplay, DayShape, make_demand
from bench.experiment_registry import EXPERIMENTS, Page, markdown_table
from lycheelug.capacity import (
    CALO_WEIGHTS,
    CAPACITY,
    GUILD_WEIGHTS,
    CapacitySettings,
    CapacityWeights,
)

if TYPE_CHECKING:
    from bench.demand_replay import Costs, Demand

__all__ = ["EVALUATION_SEEDS", "TUNING_SEED", "capacity_page"]

TUNING_SEED: Final = 11
EVALUATION_SEEDS: Final = (201, 202)
PLOT: Final = "docs/design/capacity.png"
ROOT: Final = Path(__file__).resolve().parent.parent
# Hosts at the start of each replay: four pools and the spare pool.
HOSTS: Final = {"a": 6, "b": 6, "c": 6, "d": 6, "spare": 16}
WEIGHTS: Final = {"Guild": GUILD_WEIGHTS, "Calò": CALO_WEIGHTS}
LATE_WEIGHTS: Final = (10.0, 30.0, 300.0, 1000.0)
WEIGHTED_POLICIES: Final = (
    "mean-sigma",
    "quantile",
    "pooled-quantile",
    "queue-replay",
)
FIXED_POLICIES: Final = ("hold", "static-peak")
HYSTERESIS: Final = (
    "reactive",
    "static-peak",
    "mean-sigma",
    "quantile",
    "queue-replay",
)


@cache
def _replay(
    policy: str,
    weights: CapacityWeights,
    demand: Demand,
    moves_must_pay: bool = True,
) -> Costs:
    """Replay one demand under one policy; repeated calls are cached."""
    settings = CapacitySettings(policy, moves_must_pay=moves_must_pay)
    return CapacityReplay(settings, weights, HOSTS).run(demand)


def _measures_of(weights: CapacityWeights, runs: list[Costs]) -> list[str]:
    """Return the cells of a row: means of the measures over the seeds."""
    count = len(runs)
    return [
        f"{sum(run.weighted(weights) for run in runs) / count:,.0f}",
        f"{sum(run.idle_s for run in runs) / count:,.0f}",
        f"{100.0 * sum(run.late_fraction for run in runs) / count:.2f} %",
        f"{sum(run.moves for run in runs) / count:,.1f}",
        f"{sum(run.mean_rollout_s for run in runs) / count:,.0f}",
    ]


MEASURE_HEADERS: Final = (
    "weighed cost",
    "idle host-seconds",
    "late work",
    "moves",
    "s to roll out a move",
)


def _policies_table(demands: dict[DayShape, list[Demand]]) -> str:
    """Compare all policies with the weights of both users."""
    rows: list[list[str]] = []
    for kind, series in demands.items():
        if kind is DayShape.MOVED:
            continue
        for user, weights in WEIGHTS.items():
            for policy in CAPACITY:
                runs = [_replay(policy, weights, each) for each in series]
                rows.append([kind, user, policy, *_measures_of(weights, runs)])
    return markdown_table(
        ["demand", "weights", "policy", *MEASURE_HEADERS], rows
    )


def _hysteresis_table(demands: dict[DayShape, list[Demand]]) -> str:
    """Compare policies with and without the rule that moves must pay."""
    rows: list[list[str]] = []
    for kind, series in demands.items():
        if kind is DayShape.MOVED:
            continue
        for policy in HYSTERESIS:
            for moves_must_pay in (False, True):
                runs: list[Costs] = []
                for each in series:
                    runs.append(
                        _replay(policy, GUILD_WEIGHTS, each, moves_must_pay)
                    )
                rows.append(
                    [
                        kind,
                        policy,
                        "yes" if moves_must_pay else "no",
                        *_measures_of(GUILD_WEIGHTS, runs),
                    ]
                )
    return markdown_table(
        ["demand", "policy", "moves must pay", *MEASURE_HEADERS], rows
    )


def _forecast_table(demands: dict[DayShape, list[Demand]]) -> str:
    """Compare the policy that uses the time of day with its base policy."""
    rows: list[list[str]] = []
    for kind, series in demands.items():
        for policy in ("queue-replay", "time-of-day"):
            runs = [_replay(policy, GUILD_WEIGHTS, each) for each in series]
            rows.append([kind, policy, *_measures_of(GUILD_WEIGHTS, runs)])
    return markdown_table(["demand", "policy", *MEASURE_HEADERS], rows)


def _draw_trade_off(demand: Demand) -> str:
    """Plot idle time against late work; return the table of the points."""
    rows: list[list[str]] = []
    mpl.use("Agg")
    figure = Figure(figsize=(7.0, 4.5))
    axes = figure.add_subplot()
    for policy in (*WEIGHTED_POLICIES, *FIXED_POLICIES):
        idle: list[float] = []
        late: list[float] = []
        for weight in LATE_WEIGHTS:
            weights = CapacityWeights(late_cost=weight)
            costs = _replay(policy, weights, demand)
            idle.append(costs.idle_s / 3600.0)
            late.append(100.0 * costs.late_fraction)
            rows.append(
                [
                    policy,
                    f"{weight:,.0f}",
                    f"{costs.idle_s:,.0f}",
                    f"{100.0 * costs.late_fraction:.2f} %",
                    str(costs.moves),
                ]
            )
            if policy == "hold":
                break
        axes.plot(idle, late, marker="o", label=policy)
    axes.set_xlabel("idle host-hours held in one day of 2 h")
    axes.set_ylabel("late work, % of all work")
    axes.set_title("Buffer cost against late work, by the weight of late work")
    axes.legend()
    figure.tight_layout()
    figure.savefig(ROOT / PLOT, dpi=110, metadata={"Software": None})
    return markdown_table(
        [
            "policy",
            "weight of late",
            "idle host-seconds",
            "late work",
            "moves",
        ],
        rows,
    )


@EXPERIMENTS.register("capacity")
def capacity_page() -> Page:
    """Return the page of the capacity comparisons and write the plot."""
    demands: dict[DayShape, list[Demand]] = {}
    for shape in DayShape:
        series = [make_demand(seed, shape) for seed in EVALUATION_SEEDS]
        demands[shape] = series
    parts = [
        "# Capacity policies: measured",
        "Written by `python -m bench.experiments capacity`; do not edit.",
        f"Judging seeds {EVALUATION_SEEDS}, tuning seed {TUNING_SEED}; means"
        f" over the seeds. Hosts at the start: {HOSTS}. Each pool's demand"
        " has a mean of 2 hosts (1 in the spare pool), surges to five times"
        " that for 2 to 6 s, falls to a twentieth for 16 s, and goes on at"
        " the mean for 10 s and longer. A day lasts 2 h; the first one is"
        " only learned from. A host takes 10 s to move where it is idle,"
        " else 40 s; four move at once. Idle host-seconds count in all"
        " pools but the spare one, and there up to the reserve. The cost"
        " is weighed as each user sets it, in idle host-seconds.",
        "## Policies",
        _policies_table(demands),
        "## Moves that must pay (weights of the Guild)",
        _hysteresis_table(demands),
        "## Forecasts (weights of the Guild)",
        _forecast_table(demands),
        "## Trade-off",
        "First judging seed, level day, buffer weight 1.",
        "![trade-off](design/capacity.png)",
        _draw_trade_off(demands[DayShape.LEVEL][0]),
    ]
    return Page("docs/EXPERIMENTS-CAPACITY.md", "\n\n".join(parts) + "\n")
