"""Records a trace of callers' requests while an operator has it enabled."""

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
    """Holds at most one trace recorder and numbers the recorded requests."""

    __slots__ = ("_last_id", "_recorder")

    def __init__(self) -> None:
        self._recorder: TraceRecorder | None = None
        self._last_id = 0

    @property
    def is_on(self) -> bool:
        """Whether a trace is being recorded."""
        return self._recorder is not None

    def start(self, deployment: str, pools: Sequence[TracePool]) -> None:
        """Start a new recording and discard a previous one."""
        # Imported on demand because most daemons never record a trace.
        from lycheelug.trace_recorder import (  # noqa: PLC0415
            TraceRecorder,
        )

        self._recorder = TraceRecorder(deployment, pools, time.monotonic())

    def stop(self) -> Trace | None:
        """Stop recording; return the trace, or None if recording was off."""
        recorder = self._recorder
        self._recorder = None
        return recorder.trace(time.monotonic()) if recorder else None

    def on_arrival(self, request: CallerRequest, now: float) -> int:
        """Record a request; return its number, or 0 if recording is off."""
        if self._recorder is None:
            return 0
        self._last_id += 1
        self._recorder.on_arrival(
            self._last_id,
            now,
            request.pool,
            request.tenant,
            request.request_class,
            request.timeout_s,
            request.timeout_s,
            request.repeatable,
        )
        return self._last_id

    def on_end(self, number: int, result: RunResult) -> None:
        """Record the outcome and service time of a request."""
        if self._recorder is None or number == 0:
            return
        answered = result.outcome is Outcome.ANSWERED
        self._recorder.on_finished(number, result.service_s, answered)

    def on_cancel(self, number: int) -> None:
        """Record that the caller cancelled a request."""
        if self._recorder is None or number == 0:
            return
        self._recorder.on_cancel(number, time.monotonic())
