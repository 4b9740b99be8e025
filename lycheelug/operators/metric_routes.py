"""Operators' resources for counters and histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.http import Answer, json_answer
from lycheelug.operators.routes import Call, route

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon


@route("GET", "/v1/histograms")
async def get_histograms(daemon: Daemon, call: Call) -> Answer:
    """Return the histograms in figures, of one tenant or of all."""
    tenant = call.query("tenant")
    rows = daemon.core.metrics.summaries()
    if tenant:
        rows = [row for row in rows if row.tenant == tenant]
    return json_answer(200, rows)


@route("GET", "/v1/counters")
async def get_counters(daemon: Daemon, call: Call) -> Answer:
    """Return all counters."""
    del call
    return json_answer(200, daemon.core.metrics.counters)


@route("GET", "/metrics")
async def get_metrics(daemon: Daemon, call: Call) -> Answer:
    """Return everything in the text exposition format."""
    del call
    text = daemon.core.metrics.exposition()
    content_type = b"text/plain; version=0.0.4; charset=utf-8"
    return Answer(200, [(b"content-type", content_type)], text.encode())
