"""The command `jobs`, which shows the long jobs that were set aside."""

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


class _FailureRow(msgspec.Struct):
    """One row of the printed table: a failed run of a job."""

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
    """Show the long jobs that were set aside, one line per failed run."""
    common = common or Common()
    jobs = common.client.get("/v1/jobs/set-aside", list[SetAsideView])
    if common.as_json:
        print_json(jobs)
        return
    rows: list[_FailureRow] = []
    for job in jobs:
        for failure in job.failures:
            rows.append(
                _FailureRow(
                    job.pool,
                    job.tenant,
                    failure.host,
                    failure.rack,
                    failure.reason,
                    job.name[:12],
                )
            )
    print_rows(rows, COLUMNS, common.output)
