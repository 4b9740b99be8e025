"""Serves readiness probes, metrics, and questions where a job would go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.http import Answer
from lycheelug.platform.where import WHERE_PATH

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.http import Request
    from lycheelug.metrics import Metrics
    from lycheelug.platform.where import WhereHandler

__all__ = ["ProbeHandler"]

READY_PATH: Final = b"/v1/readyz"
METRICS_PATH: Final = b"/metrics"


class ProbeHandler:
    """The handler of requests on the address of the probes."""

    __slots__ = ("_is_ready", "_metrics", "_where")

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        where: WhereHandler,
    ) -> None:
        # Returns whether this daemon can serve callers.
        self._is_ready = is_ready
        self._metrics = metrics
        self._where = where

    async def handle(self, request: Request) -> Answer:
        """Answer one request."""
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            return Answer(200 if self._is_ready() else 503, [])
        if path == METRICS_PATH:
            body = self._metrics.exposition().encode()
            return Answer(200, [(b"content-type", b"text/plain")], body)
        if path == WHERE_PATH:
            return await self._where.handle(request)
        return Answer(404, [])
