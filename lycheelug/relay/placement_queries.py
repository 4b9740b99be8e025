"""Asks the daemons that own pools where a job would go."""

from __future__ import annotations

from typing import Final

from lycheelug.jobservice.placement_queries import (
    PlacementAnswer,
    PlacementQuery,
)
from lycheelug.relay.channels import CALL_ERRORS, PeerChannels

__all__ = ["LOCATE", "PlacementForwarder"]

LOCATE: Final = "/lycheelug.Relay/Locate"
# An owner answers from memory.
LOCATE_TIMEOUT_S: Final = 0.4


class PlacementForwarder:
    """Asks owners on other daemons."""

    __slots__ = ("_channels",)

    def __init__(self) -> None:
        self._channels = PeerChannels()

    async def ask(
        self, address: str, query: PlacementQuery
    ) -> PlacementAnswer:
        """Return the owner's answer, or why there is none."""
        try:
            answer: PlacementAnswer = await self._channels.call(
                address, LOCATE, query, PlacementAnswer, LOCATE_TIMEOUT_S
            )
        except CALL_ERRORS as error:
            reason = str(error) or type(error).__name__
            return PlacementAnswer(
                error=f"the owner of pool {query.pool} at {address} "
                f"did not answer: {reason}"
            )
        return answer

    def close(self) -> None:
        """Close the connections to owners."""
        self._channels.close()
