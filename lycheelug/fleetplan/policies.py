"""The names of the policies by which hosts are planned."""

from __future__ import annotations

__all__ = ["PlanPolicies"]


class PlanPolicies:
    """The names of policies, each in the registry of its kind."""

    __slots__ = ("forecast", "relocates_early", "sharing", "sizing")

    def __init__(
        self,
        sizing: str = "demand",
        forecast: str = "turns",
        sharing: str = "first-come",
        relocates_early: bool = False,
    ) -> None:
        self.sizing = sizing
        self.forecast = forecast
        self.sharing = sharing
        # Whether hosts with long-running tasks are drained from the beginning
        # of a wave, one of a pool besides the others.
        self.relocates_early = relocates_early
