"""Holds the fleet's duty: moves of hosts and upkeep."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheelug.logs import log_change

if TYPE_CHECKING:
    from lycheelug.jobservice.interfaces import HostControl
    from lycheelug.jobservice.pool_owner import OwnerContext

__all__ = ["FleetOwner"]


class FleetOwner:
    """The fleet's planner under one term."""

    __slots__ = ("_context", "_hosts", "_lost", "_name", "_term")

    def __init__(
        self,
        context: OwnerContext,
        hosts: HostControl,
        name: str,
        term: int,
    ) -> None:
        self._context = context
        self._hosts = hosts
        self._name = name
        self._term = term
        self._lost = asyncio.Event()

    async def run(self) -> None:
        """Plan until the duty is lost."""
        await self._lost.wait()

    def lose(self, why: str) -> None:
        """End: another holder was seen."""
        log_change("duty-lost", duty="fleet", term=self._term, reason=why)
        self._lost.set()

    async def hand_over(self) -> None:
        """Nothing is to be brought to the store."""
