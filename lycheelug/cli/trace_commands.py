"""The commands `trace record`, `trace make` and `replay`."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from returns.result import Failure

from lycheelug.admission import QUEUES
from lycheelug.cli.client import ExitCode, fail, read_file
from lycheelug.cli.options import Common, CommonOptions
from lycheelug.cli.output import Output, print_json, print_rows
from lycheelug.replay import ReplayOptions, replay
from lycheelug.replay_report import ReplayReport
from lycheelug.trace_generator import DEPLOYMENTS, make_trace
from lycheelug.traces import Trace, parse_trace, render_trace

__all__ = ["register"]


def register(app: App) -> None:
    """Add the commands to the application."""
    group = App(name="trace", help="Record or generate a trace.")
    group.command(cmd_trace_record, name="record")
    group.command(cmd_trace_make, name="make")
    app.command(group)
    app.command(cmd_replay, name="replay")


def cmd_trace_record(
    file: Path, *, seconds: float = 60.0, common: CommonOptions = None
) -> None:
    """Record the requests to a daemon for some time.

    Parameters
    ----------
    file
        The file to which the trace is written, as JSON lines.
    seconds
        How long to record.

    """
    common = common or Common()
    client = common.client
    client.call("POST", "/v1/trace/start", b"")
    time.sleep(seconds)
    answer = client.call("POST", "/v1/trace/stop", b"")
    _write(file, answer.body)
    lines = answer.body.count(b"\n") - 1
    sys.stdout.write(f"{file}: {lines} events\n")


def cmd_trace_make(
    file: Path,
    *,
    deployment: str = "guild",
    seed: int = 1,
    seconds: float = 120.0,
) -> None:
    """Generate a trace of a sample deployment from a seed.

    Parameters
    ----------
    file
        The file to which the trace is written, as JSON lines.
    deployment
        The deployment's name.
    seed
        The seed; equal seeds give equal traces.
    seconds
        The time that the trace covers.

    """
    if deployment not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        fail(
            f"--deployment: found {deployment!r}; allowed: {known}",
            ExitCode.USAGE,
        )
    trace = make_trace(DEPLOYMENTS.get(deployment), seed, seconds)
    _write(file, b"".join(render_trace(trace)))
    sys.stdout.write(f"{file}: {len(trace.events)} events\n")


def cmd_replay(
    file: Path,
    *,
    policy: Annotated[
        list[str] | None,
        Parameter(help="Queue policies to compare.", consume_multiple=True),
    ] = None,
    limit: str = "fixed",
    seed: int = 1,
    output: Output = Output.TABLE,
) -> None:
    """Replay a trace with the daemon's policies and print the measures.

    Parameters
    ----------
    file
        A trace that `trace record` or `trace make` has written.
    limit
        The policy for the concurrency limit.
    seed
        The seed for the random choice of executors.

    """
    trace = _read_trace(file)
    names = policy or ["deadline"]
    for name in names:
        if name not in QUEUES:
            known = ", ".join(QUEUES)
            fail(f"--policy: found {name!r}; allowed: {known}", ExitCode.USAGE)
    options = ReplayOptions(limit_name=limit)
    reports: list[ReplayReport] = []
    for name in names:
        reports.append(replay(trace, name, seed, options))
    if output is Output.JSON:
        print_json(reports)
        return
    for report in reports:
        sys.stdout.write(f"policy {report.policy}\n")
        print_rows(report.rows(), ("measure", "value"), output)


def _read_trace(file: Path) -> Trace:
    """Return a parsed trace; end the tool with its first fault."""
    lines = read_file(file).splitlines()
    parsed = parse_trace(lines, str(file))
    if isinstance(parsed, Failure):
        fail(parsed.failure().detail, ExitCode.USAGE)
    trace: Trace = parsed.unwrap()
    return trace


def _write(file: Path, data: bytes) -> None:
    """Write a file; end the tool if this fails."""
    try:
        file.write_bytes(data)
    except OSError as error:
        reason = error.strerror or str(error)
        fail(f"{file}: {reason}", ExitCode.USAGE)
