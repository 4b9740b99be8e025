"""Asks the daemons that own pools how many jobs wait there.

Only the owner knows which jobs have started.  A count that it can't give in
time is not replaced by an older one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change
from lycheelug.relay.channels import CALL_ERRORS, PeerChannels
from lycheelug.relay.messages import CountCall, CountReply

if TYPE_CHECKING:
    from lycheelug.jobservice.interfaces import WaitingCount

__all__ = ["COUNT", "CountForwarder"]

COUNT: Final = "/lycheelug.Relay/Count"
# An owner answers from memory.
COUNT_TIMEOUT_S: Final = 0.4


class CountForwarder:
    """Asks owners on other daemons for counts of waiting jobs."""

    __slots__ = ("_channels",)

    def __init__(self) -> None:
        self._channels = PeerChannels()

    async def count(
        self, owner: str, pool: str, queue: str, address: str
    ) -> WaitingCount:
        """Return the owner's count, or None if it has not given one.

        `address` is that of the queue.
        """
        try:
            reply = await self._channels.call(
                owner,
                COUNT,
                CountCall(pool, queue, address),
                CountReply,
                COUNT_TIMEOUT_S,
            )
        except CALL_ERRORS as error:
            log_change(
                "owner-not-asked",
                peer=owner,
                pool=pool,
                queue=queue,
                error=str(error) or type(error).__name__,
            )
            return None
        return reply.waiting

    def close(self) -> None:
        """Close the connections to owners."""
        self._channels.close()
