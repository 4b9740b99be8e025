"""The commands `status`, `hosts`, `pools` and `entries dead`."""

from __future__ import annotations

import sys
from urllib.parse import quote

from cyclopts import App

from lycheelug.cli.client import ExitCode, fail
from lycheelug.cli.options import Common, CommonOptions
from lycheelug.cli.output import print_json, print_rows
from lycheelug.operators.messages import HostView, PoolView, StatusView

__all__ = ["register"]

MEMBER_COLUMNS = (
    "name",
    "zone",
    "state",
    "address",
    "joined",
    "silent_s",
    "table_revision",
    "config_revision",
)
HOST_COLUMNS = (
    "name",
    "zone",
    "rack",
    "pool",
    "phase",
    "listed",
    "use",
    "in_flight",
    "limit",
)
POOL_COLUMNS = (
    "name",
    "hosts",
    "min_available",
    "out",
    "usable_slots",
    "in_flight",
    "queued",
    "ejected",
    "spare",
)


def register(app: App) -> None:
    """Add the commands to the application."""
    app.command(cmd_status, name="status")
    app.command(cmd_hosts, name="hosts")
    app.command(cmd_pools, name="pools")
    group = App(name="entries", help="Manage the entry daemons.")
    group.command(cmd_entries_dead, name="dead")
    app.command(group)


def cmd_status(common: CommonOptions = None) -> None:
    """Show the state of a daemon and of the entry daemons it knows."""
    common = common or Common()
    status = common.client.get("/v1/status", StatusView)
    if common.as_json:
        print_json(status)
        return
    reachability = "reached" if status.platform_reachable else "NOT REACHED"
    sys.stdout.write(
        f"{status.name} in {status.zone}: {status.phase}, "
        f"up {status.uptime_s:.0f} s, run {status.run}\n"
        f"platform ({status.platform_binding}): {reachability}, "
        f"table revision {status.table_revision}, "
        f"host list revision {status.host_list_revision}\n"
        f"configuration revision {status.config_revision}\n"
        f"requests: {status.requests_in_flight} in flight, "
        f"{status.requests_queued} queued; "
        f"{status.connections} connections\n\n"
    )
    print_rows(status.members, MEMBER_COLUMNS, common.output)


def cmd_hosts(pool: str = "", common: CommonOptions = None) -> None:
    """Show the worker hosts in the daemon's availability zone.

    Parameters
    ----------
    pool
        Show only the hosts of this pool.

    """
    common = common or Common()
    rows = common.client.get("/v1/hosts", list[HostView])
    if pool:
        rows = [row for row in rows if row.pool == pool]
        if not rows:
            fail(f"no host in pool {pool!r}", ExitCode.REFUSED)
    print_rows(rows, HOST_COLUMNS, common.output)


def cmd_entries_dead(
    name: str, *, operator: str = "operator", common: CommonOptions = None
) -> None:
    """Declare the current run of an entry daemon dead.

    Do this only if the daemon can no longer run.

    Parameters
    ----------
    name
        The daemon's name.
    operator
        Your name, for the log.

    """
    common = common or Common()
    target = f"/v1/entries/dead/{quote(name)}?operator={quote(operator)}"
    ended = common.client.post(target, b"", dict[str, str])
    if common.as_json:
        print_json(ended)
        return
    sys.stdout.write(f"{ended['entry']}: run {ended['run']} is ended\n")


def cmd_pools(common: CommonOptions = None) -> None:
    """Show the state and the load of the pools at the daemon."""
    common = common or Common()
    rows = common.client.get("/v1/pools", list[PoolView])
    print_rows(rows, POOL_COLUMNS, common.output)
