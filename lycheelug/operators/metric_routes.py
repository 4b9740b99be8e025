"""The operators' routes for counters and histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.http import Answer, json_answer
from lycheelug.operators.routes import OperatorRequest, route

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon


@route("GET", "/v1/histograms")
async def get_histograms(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return summaries of the histograms, of one tenant or of all."""
    tenant = request.query_parameter("tenant")
    rows = daemon.core.metrics.summaries()
    if tenant:
        rows = [row for row in rows if row.tenant == tenant]
    return json_answer(200, rows)


@route("GET", "/v1/counters")
async def get_counters(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return all counters."""
    del request
    return json_answer(200, daemon.core.metrics.counters)


@route("GET", "/metrics")
async def get_metrics(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return all metrics in the Prometheus text exposition format."""
    del request
    text = daemon.core.metrics.exposition()
    content_type = b"text/plain; version=0.0.4; charset=utf-8"
    return Answer(200, [(b"content-type", content_type)], text.encode())
