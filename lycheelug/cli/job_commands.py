"""The command `jobs`: long jobs that were set aside."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheelug.cli.options import Common, CommonOptions
from lycheelug.cli.output import print_json, print_rows
from lycheelug.operators.messages import SetAsideView

if TYPE_CHECKING:
    from cyclopts import App

__all__ = ["register"]

COLUMNS = ("pool", "tenant", "host", "rack", "reason", "name")


class _FailureLine(msgspec.Struct):
    """One failed run in the table that the command prints."""

    pool: str
    tenant: str
    host: str
    rack: str
    reason: str
    name: str


def register(app: App) -> None:
    """Add the command to the application."""
    app.command(cmd_jobs, name="jobs")


def cmd_jobs(common: CommonOptions = None) -> None:
    """Show the long jobs that were set aside, a line for each failure."""
    common = common or Common()
    jobs = common.client.get("/v1/jobs/set-aside", list[SetAsideView])
    if common.as_json:
        print_json(jobs)
        return
    lines: list[_FailureLine] = []
    for job in jobs:
        for each in job.failures:
            lines.append(
                _FailureLine(
                    job.pool,
                    job.tenant,
                    each.host,
                    each.rack,
                    each.reason,
                    job.name[:12],
                )
            )
    print_rows(lines, COLUMNS, common.output)
