"""The commands `scheduler ...`, for jobs with steps on the users' platform.

They access the platform's store directly, without a daemon.
"""

from __future__ import annotations

import asyncio
import time
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

from cyclopts import App, Parameter
from returns.result import Failure

from lycheelug.cli.client import ExitCode, fail, read_file
from lycheelug.cli.day import COLUMNS, add_up_day
from lycheelug.cli.day_plot import plot_day
from lycheelug.cli.explain import explain
from lycheelug.cli.output import Output, print_json, print_rows
from lycheelug.errors import PLATFORM_UNKNOWN
from lycheelug.jobservice.inspection import Inspection, JobView
from lycheelug.platform.store import PlatformRows

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from returns.result import Result

    from lycheelug.errors import Fault

__all__ = ["register"]

JOB_COLUMNS = (
    "job",
    "pool",
    "queue",
    "state",
    "steps",
    "begun_term",
    "finished_tasks",
    "failed_runs",
    "is_cancelled",
    "reason",
    "tenant",
    "waits_for",
)

StoreOption = Annotated[
    str,
    Parameter(
        env_var="LYCHEELUG_STORE",
        help="Address of the platform's store, ip:port.",
    ),
]
OutputOption = Annotated[
    Output, Parameter(help="The output format: a table, or JSON for programs.")
]
app = App(name="scheduler", help="Manage jobs on the users' platform.")


def register(parent: App) -> None:
    """Add the commands to the application."""
    parent.command(app)


@app.command(name="owners")
def cmd_owners(
    *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Show the duties (pools and the fleet plan), their owners and terms."""
    rows = _query_store(store, lambda inspection: inspection.owners())
    print_rows(rows, ("duty", "holder", "term", "version"), output)


@app.command(name="daemons")
def cmd_daemons(
    *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Show the daemons, with the heartbeats of the duty group."""
    rows = _query_store(store, lambda inspection: inspection.daemons())
    columns = ("name", "zone", "address", "beat", "leaving")
    print_rows(rows, columns, output)


@app.command(name="pools")
def cmd_pools(
    *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Show the load of each pool; CPU is in thousandths of a core."""
    rows = _query_store(store, lambda inspection: inspection.pools())
    columns = (
        "pool",
        "term",
        "hosts",
        "usable_hosts",
        "running_cpu",
        "ready_cpu",
        "lasting_cpu",
        "waiting_jobs",
    )
    print_rows(rows, columns, output)


@app.command(name="executors")
def cmd_executors(
    pool: str, *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Show a pool's executors, as in its owner's last stored summary."""
    rows = _query_store(store, lambda inspection: inspection.executors(pool))
    columns = (
        "executor",
        "host",
        "address",
        "runs",
        "used_cpu",
        "capacity_cpu",
        "is_usable",
    )
    print_rows(rows, columns, output)


@app.command(name="waves")
def cmd_waves(
    *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Show the maintenance waves that have begun."""
    rows = _query_store(store, lambda inspection: inspection.waves())
    columns = ("wave", "maintained", "under_way", "is_completed")
    print_rows(rows, columns, output)


@app.command(name="jobs")
def cmd_jobs(
    pool: str, *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Show the jobs of a pool whose rows are still stored."""
    rows = _query_store(store, lambda inspection: inspection.jobs(pool))
    print_rows(rows, JOB_COLUMNS, output)


@app.command(name="job")
def cmd_job(
    job: str, *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Show one job."""
    print_rows([_find_job(store, job)], JOB_COLUMNS, output)


@app.command(name="cancel")
def cmd_cancel(job: str, *, store: StoreOption) -> None:
    """Cancel a job; the owner of its pool stops the running tasks."""
    view = _find_job(store, job)
    unix_ms = int(time.time() * 1000)
    is_new = _query_store(
        store, lambda inspection: inspection.cancel(view, unix_ms)
    )
    print_json({"job": job, "cancelled": True, "new": is_new})


@app.command(name="explain")
def cmd_explain(
    job: str, log: Path, *, output: OutputOption = Output.TABLE
) -> None:
    """Show the lines about a job in the collected logs of the daemons."""
    text = read_file(log).decode(errors="replace")
    lines = explain(text.splitlines(), job)
    if not lines:
        fail(f"{log}: no line names job {job}", ExitCode.REFUSED)
    print_rows(lines, ("time", "daemon", "event", "detail"), output)


@app.command(name="day")
def cmd_day(
    log: Path,
    *,
    origin: Annotated[
        datetime | None,
        Parameter(help="The time at which second 0 begins, in ISO format."),
    ] = None,
    pool: Annotated[str, Parameter(help="Show only this pool.")] = "",
    plot: Annotated[
        Path | None,
        Parameter(help="Also write a plot to this file; needs matplotlib."),
    ] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show how the jobs of each second ended, in the collected logs."""
    text = read_file(log).decode(errors="replace")
    rows = add_up_day(text.splitlines(), origin)
    if pool:
        rows = [row for row in rows if row.pool == pool]
    if not rows:
        fail(f"{log}: no line of a daemon in it", ExitCode.REFUSED)
    print_rows(rows, COLUMNS, output)
    if plot is not None and not plot_day(rows, plot):
        fail("--plot: matplotlib is not installed", ExitCode.USAGE)


@app.command(name="check")
def cmd_check(
    *, store: StoreOption, output: OutputOption = Output.TABLE
) -> None:
    """Check that the store is reachable and that each pool has an owner."""
    owners = _query_store(store, lambda inspection: inspection.owners())
    pools = _query_store(store, lambda inspection: inspection.pools())
    owned = {owner.duty for owner in owners if owner.holder}
    unowned = [pool.pool for pool in pools if pool.pool not in owned]
    if output is Output.JSON:
        print_json({"owners": len(owned), "unowned_pools": unowned})
    if unowned:
        fail(f"no owner: {', '.join(unowned)}", ExitCode.REFUSED)


def _find_job(store: str, job: str) -> JobView:
    """Return a job; end the tool if no pool has it."""
    view: JobView | None = _query_store(
        store, lambda inspection: inspection.job(job)
    )
    if view is None:
        fail(f"no pool has job {job}", ExitCode.REFUSED)
    return view


def _query_store(
    store: str,
    query: Callable[[Inspection], Awaitable[Result[Any, Fault]]],
) -> Any:
    """Run a query on the store; end the tool on a fault."""

    async def run_query() -> Result[Any, Fault]:
        rows = PlatformRows(store)
        try:
            return await query(Inspection(rows))
        finally:
            rows.close()

    if not store.rpartition(":")[2].isdigit():
        fail(f"--store: found {store!r}; give IP:PORT", ExitCode.USAGE)
    result = asyncio.run(run_query())
    if isinstance(result, Failure):
        fault = result.failure()
        code = ExitCode.UNREACHABLE
        if fault.code is PLATFORM_UNKNOWN:
            code = ExitCode.UNKNOWN
        fail(str(fault), code)
    return result.unwrap()
