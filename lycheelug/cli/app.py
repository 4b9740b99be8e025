"""The command-line application with its commands."""

from __future__ import annotations

from cyclopts import App

from lycheelug import __version__
from lycheelug.cli import (
    config_commands,
    fleet_commands,
    job_commands,
    metric_commands,
    scheduler_commands,
    sheet_commands,
    trace_commands,
)

__all__ = ["app", "main"]

app = App(
    name="lycheelug",
    version=__version__,
    help=(
        "Manage pools, hosts and the configuration through any entry "
        "daemon.\n\n"
        "Exit codes: 0 done, 1 refused or faults found, 2 wrong usage or "
        "file, 3 daemon unreachable, 4 outcome unknown."
    ),
)
fleet_commands.register(app)
job_commands.register(app)
metric_commands.register(app)
config_commands.register(app)
sheet_commands.register(app)
trace_commands.register(app)
scheduler_commands.register(app)


def main() -> None:
    """Run the command-line tool."""
    app()
