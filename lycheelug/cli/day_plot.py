"""Plots the rows of a day, if matplotlib is installed."""

from __future__ import annotations

import importlib
import importlib.util
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from lycheelug.cli.day import DayRow

__all__ = ["plot_day"]

OUTCOMES: Final = (
    "in_time",
    "late",
    "overdue",
    "failed",
    "refused",
    "undecided",
    "open",
)
ROW_INCHES: Final = 2.0
WIDTH_INCHES: Final = 11.0


def plot_day(rows: Sequence[DayRow], path: Path) -> bool:
    """Write a plot, one panel a pool; return False without matplotlib."""
    if importlib.util.find_spec("matplotlib") is None:
        return False
    importlib.import_module("matplotlib").use("Agg")
    pyplot = importlib.import_module("matplotlib.pyplot")
    pools = sorted({row.pool for row in rows if row.asked})
    figure, panels = pyplot.subplots(
        max(1, len(pools)),
        sharex=True,
        squeeze=False,
        figsize=(WIDTH_INCHES, ROW_INCHES * max(1, len(pools))),
    )
    for panel, pool in zip(panels[:, 0], pools, strict=False):
        chosen = [row for row in rows if row.pool == pool]
        seconds = [row.second for row in chosen]
        base = [0] * len(chosen)
        for name in OUTCOMES:
            counts = [getattr(row, name) for row in chosen]
            panel.bar(seconds, counts, bottom=base, label=name)
            base = [a + b for a, b in zip(base, counts, strict=True)]
        panel.set_ylabel(f"{pool}: jobs")
    panels[0, 0].legend(ncols=len(OUTCOMES), fontsize="small")
    panels[-1, 0].set_xlabel("second of submission")
    figure.savefig(path)
    return True
