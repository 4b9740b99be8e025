"""Handles messages that other entry daemons send to a daemon."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from lycheelug.entries.service import EntryHandler

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.daemon import Daemon
    from lycheelug.entries.messages import (
        ConfigAnswer,
        ConfigPush,
        Digest,
        ViewReply,
        ViewRequest,
    )

__all__ = ["DaemonEntryHandler"]


class DaemonEntryHandler(EntryHandler):
    """Passes messages of other daemons to the components of one daemon."""

    __slots__ = ("_daemon",)

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    async def exchange(self, digests: Sequence[Digest]) -> list[Digest]:
        """Apply the received digests; return those that the sender lacks."""
        return self._daemon.gossip.answer(digests)

    async def fetch_view(self, request: ViewRequest) -> ViewReply:
        """Return the rows of the local view after a revision."""
        if self._daemon.gate.pauses.is_stale:
            raise GRPCError(
                Status.UNAVAILABLE, "the view may be outdated after a pause"
            )
        if request.newcomer:
            self._daemon.core.members.sponsor(request.newcomer)
        return self._daemon.core.view.rows_since(
            request.zone, request.revision
        )

    async def push_config(self, push: ConfigPush) -> ConfigAnswer:
        """Prepare or accept a configuration, or return the highest one."""
        return self._daemon.config.answer(push)

    async def leave(self, digest: Digest) -> None:
        """Record that a daemon's run ends."""
        self._daemon.core.members.on_leave(digest, time.monotonic())
        self._daemon.sync.update_shares()
