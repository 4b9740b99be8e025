"""The commands `histograms` and `counters`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from lycheelug.cli.options import Common, CommonOptions
from lycheelug.cli.output import format_table, print_json, print_rows
from lycheelug.metrics import HistogramSummary

if TYPE_CHECKING:
    from cyclopts import App

__all__ = ["register"]

COLUMNS = (
    "tenant",
    "request_class",
    "stage",
    "count",
    "p50_s",
    "p90_s",
    "p99_s",
    "p999_s",
    "max_s",
)


def register(app: App) -> None:
    """Add the commands to the application."""
    app.command(cmd_histograms, name="histograms")
    app.command(cmd_counters, name="counters")


def cmd_histograms(tenant: str = "", common: CommonOptions = None) -> None:
    """Show queueing, service and total times by tenant and request class.

    Parameters
    ----------
    tenant
        Show only this tenant.

    """
    common = common or Common()
    rows = common.client.get("/v1/histograms", list[HistogramSummary])
    if tenant:
        rows = [row for row in rows if row.tenant == tenant]
    print_rows(rows, COLUMNS, common.output)


def cmd_counters(common: CommonOptions = None) -> None:
    """Show all counters."""
    common = common or Common()
    counters = common.client.get("/v1/counters", dict[str, int])
    if common.as_json:
        print_json(counters)
        return
    rows = [[name, str(value)] for name, value in sorted(counters.items())]
    sys.stdout.write(format_table(["counter", "value"], rows))
