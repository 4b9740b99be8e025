"""Remembers which requests can't be satisfied at the moment; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.model import Resources, StepSpec

__all__ = ["UnplaceableRequests"]


class UnplaceableRequests:
    """Resource requests that no executor could satisfy in this round.

    Requests that are at least as large in every resource can't be satisfied
    either, so a long queue doesn't check every executor for every task.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: list[Resources] = []

    def covers(self, resources: Resources) -> bool:
        """Return whether a request is known to be unsatisfiable."""
        for request in self._requests:
            if (
                request.cpu_millis <= resources.cpu_millis
                and request.memory_mb <= resources.memory_mb
                and request.gpus <= resources.gpus
            ):
                return True
        return False

    def record(self, step: StepSpec) -> None:
        """Record the request of a step whose task could not be placed.

        Ignored if another constraint than the request may be the reason.
        """
        if step.required_label or step.max_per_executor:
            return
        if not self.covers(step.resources):
            self._requests.append(step.resources)
