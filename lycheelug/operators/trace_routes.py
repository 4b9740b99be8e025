"""The operators' routes that record a trace of a daemon's requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.errors import UNKNOWN_ROUTE, Fault, Peer, Step
from lycheelug.http import Answer, json_answer
from lycheelug.operators.faults import fault_answer
from lycheelug.operators.routes import OperatorRequest, route

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon
    from lycheelug.traces import TracePool


@route("POST", "/v1/trace/start")
async def post_start(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Start recording; an earlier recording is discarded."""
    del request
    core = daemon.core
    daemon.requests.recording.start(core.settings.name, _trace_pools(daemon))
    return json_answer(200, {"recording": True})


@route("POST", "/v1/trace/stop")
async def post_stop(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Stop recording and return the trace."""
    del request
    trace = daemon.requests.recording.stop()
    if trace is None:
        detail = "no recording is in progress"
        return fault_answer(
            Fault(UNKNOWN_ROUTE, Step.READ, Peer.OPERATOR, detail)
        )
    from lycheelug.traces import render_trace  # noqa: PLC0415

    body = b"".join(render_trace(trace))
    return Answer(200, [(b"content-type", b"application/jsonl")], body)


def _trace_pools(daemon: Daemon) -> list[TracePool]:
    """Return the pools in the form that a trace has."""
    from lycheelug.traces import TraceExecutor, TracePool  # noqa: PLC0415

    pools: list[TracePool] = []
    for name, row in sorted(daemon.core.view.pools.items()):
        executors: list[TraceExecutor] = []
        for host in daemon.core.view.executors(name):
            executors.append(TraceExecutor(host.name, host.zone, host.rack))
        if executors:
            pools.append(
                TracePool(name, executors, row.slots, row.connections)
            )
    return pools
