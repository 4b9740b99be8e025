"""The settings of what a pool's owner does in an overload."""

from __future__ import annotations

__all__ = ["OverloadPolicy"]


class OverloadPolicy:
    """How a pool's owner orders jobs, and whether it rejects any.

    The default orders by feasibility and accepts all jobs.
    """

    __slots__ = ("ordering", "rejects")

    def __init__(
        self, ordering: str = "feasibility", rejects: bool = False
    ) -> None:
        # The name of an ordering in `ORDERINGS`.
        self.ordering = ordering
        # Whether jobs are rejected that can't be completed within the limit.
        self.rejects = rejects
