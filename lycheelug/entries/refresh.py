"""Updates a daemon's view from its peers, or after a pause.

A daemon that starts while the platform is unreachable copies its view from
peers in its zone, which list it as sponsored until it has joined.  A daemon
that was suspended requests from the platform, with a transaction, a revision
at which it was still a member.  It acts again once its view has reached this
revision.  If the platform is unreachable, it copies a peer's view instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.entries.join import confirm_entry
from lycheelug.entries.messages import ViewRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from lycheelug.entries.client import EntryClient
    from lycheelug.errors import Fault
    from lycheelug.fleet_view import FleetView
    from lycheelug.membership import Members
    from lycheelug.pause import PauseDetector
    from lycheelug.store.interface import Platform, Row
    from lycheelug.store.watch import Watch

__all__ = ["Refresh", "fetch_view"]

_MAX_PAGES: Final = 64


async def fetch_view(
    client: EntryClient,
    view: FleetView,
    on_rows: Callable[[Sequence[Row]], object],
    newcomer: str = "",
) -> Result[bool, Fault]:
    """Copy a peer's whole view; return whether the local view is current.

    It is current if the peer is in the same zone, and so has the zone's
    hosts, and if its view is not older than the local view was.  The rows are
    read from revision 0, because a peer may not know deletions that preceded
    its start.
    """
    keys: set[str] = set()
    local_revision = view.revision
    revision = 0
    for _ in range(_MAX_PAGES):
        request = ViewRequest(view.zone, revision, newcomer)
        match await client.fetch_view(request):
            case Success(reply):
                pass
            case Failure(fault):
                return Failure(fault)
        keys.update(row.key for row in reply.rows)
        _notify(on_rows, view.apply_reply(reply))
        revision = reply.revision
        if reply.has_more:
            continue
        _notify(on_rows, view.finish_snapshot(reply.zone, keys, revision))
        # The view of a peer that is starting is at revision 0.
        is_current = 0 < revision >= local_revision
        return Success(reply.zone == view.zone and is_current)
    return Success(False)


def _notify(
    on_rows: Callable[[Sequence[Row]], object], rows: Sequence[Row]
) -> None:
    if rows:
        on_rows(rows)


class Refresh:
    """Updates the view of a daemon after a pause."""

    __slots__ = (
        "_members",
        "_on_rows",
        "_pauses",
        "_platform",
        "_rng",
        "_view",
        "_watch",
    )

    def __init__(
        self,
        platform: Platform,
        view: FleetView,
        watch: Watch,
        members: Members,
        pauses: PauseDetector,
        rng: random.Random,
        on_rows: Callable[[Sequence[Row]], object],
    ) -> None:
        self._platform = platform
        self._view = view
        self._watch = watch
        self._members = members
        self._pauses = pauses
        self._rng = rng
        self._on_rows = on_rows

    async def run(
        self, join_revision: int, peers: Sequence[EntryClient]
    ) -> bool:
        """Refresh once; return whether the daemon may act again.

        It may not if neither the platform nor a peer in the zone answered,
        or if this run was removed (`Members.is_superseded`).
        """
        generation = self._pauses.generation
        refreshed = await self._refresh_from_platform(join_revision)
        if refreshed is None:
            refreshed = await self._refresh_from_peers(peers)
        if not refreshed or self._members.is_superseded:
            return False
        self._pauses.refreshed(generation)
        return not self._pauses.is_stale

    async def _refresh_from_platform(self, join_revision: int) -> bool | None:
        """Return whether this run is still a member; None if unknown."""
        own = self._members.own.name
        answer = await confirm_entry(
            self._platform, own, join_revision, self._rng
        )
        match answer:
            case Success(int(revision)):
                await self._watch.poll_until(revision)
                return True
            case Success(_):
                self._members.mark_superseded()
                return False
        return None

    async def _refresh_from_peers(self, peers: Sequence[EntryClient]) -> bool:
        for client in peers:
            match await fetch_view(client, self._view, self._on_rows):
                case Success(True):
                    return True
        return False
