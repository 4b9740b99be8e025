"""Records a trace of what callers ask of a daemon, when operators want it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from lycheelug.requests import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.callers.request_headers import CallerRequest
    from lycheelug.runner import RunResult
    from lycheelug.trace_recorder import TraceRecorder
    from lycheelug.traces import Trace, TracePool

__all__ = ["Recording"]


class Recording:
    """At most one recorder, and the requests that it follows."""

    __slots__ = ("_last_id", "_recorder")

    def __init__(self) -> None:
        self._recorder: TraceRecorder | None = None
        self._last_id = 0

    @property
    def is_on(self) -> bool:
        """Whether a trace is being recorded."""
        return self._recorder is not None

    def start(self, deployment: str, pools: Sequence[TracePool]) -> None:
        """Start anew; what was recorded before is dropped."""
        # Imported when asked for: daemons seldom record.
        from lycheelug.trace_recorder import (  # noqa: PLC0415
            TraceRecorder,
        )

        self._recorder = TraceRecorder(deployment, pools, time.monotonic())

    def stop(self) -> Trace | None:
        """End the recording and return it, or None where there is none."""
        recorder = self._recorder
        self._recorder = None
        return recorder.trace(time.monotonic()) if recorder else None

    def on_arrival(self, wanted: CallerRequest, now: float) -> int:
        """Record a request; return its number, 0 where nothing records."""
        if self._recorder is None:
            return 0
        self._last_id += 1
        self._recorder.on_arrival(
            self._last_id,
            now,
            wanted.pool,
            wanted.tenant,
            wanted.request_class,
            wanted.timeout_s,
            wanted.timeout_s,
            wanted.repeatable,
        )
        return self._last_id

    def on_end(self, number: int, run: RunResult) -> None:
        """Record how a request ended."""
        if self._recorder is None or number == 0:
            return
        answered = run.outcome is Outcome.ANSWERED
        self._recorder.on_finished(number, run.service_s, answered)

    def on_cancel(self, number: int) -> None:
        """Record that a request's caller left."""
        if self._recorder is None or number == 0:
            return
        self._recorder.on_cancel(number, time.monotonic())
