"""Bringing a view up to date from peers, and after a pause.

A daemon that starts while the platform is away takes its view from peers
of its zone, and is listed by them as sponsored until it has joined.  One
that stood still asks the platform, by a transaction, for a revision at
which it was still a member, and acts again once its view has got there;
with the platform away, a peer's view serves.
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
    """Take in a peer's whole view.

    Return whether it holds the own zone's hosts and is no older than the
    own view.  The view is read from revision 0, since a peer need not know
    the deletions before its start.
    """
    named: set[str] = set()
    own_revision = view.revision
    revision = 0
    for _ in range(_MAX_PAGES):
        request = ViewRequest(view.zone, revision, newcomer)
        match await client.fetch_view(request):
            case Success(reply):
                pass
            case Failure(fault):
                return Failure(fault)
        named.update(row.key for row in reply.rows)
        _notify(on_rows, view.apply_reply(reply))
        revision = reply.revision
        if reply.has_more:
            continue
        _notify(on_rows, view.finish_snapshot(reply.zone, named, revision))
        # A peer that is starting itself has nothing to tell.
        is_newer = 0 < revision >= own_revision
        return Success(reply.zone == view.zone and is_newer)
    return Success(False)


def _notify(
    on_rows: Callable[[Sequence[Row]], object], rows: Sequence[Row]
) -> None:
    if rows:
        on_rows(rows)


class Refresh:
    """Brings the view of a daemon up to date after a pause."""

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

        False where neither the platform nor a peer of the zone answered,
        or where the own run has been ended (`Members.is_superseded`).
        """
        generation = self._pauses.generation
        refreshed = await self._from_platform(join_revision)
        if refreshed is None:
            refreshed = await self._from_peers(peers)
        if not refreshed or self._members.is_superseded:
            return False
        self._pauses.refreshed(generation)
        return not self._pauses.is_stale

    async def _from_platform(self, join_revision: int) -> bool | None:
        """Return whether the run still stands; None without an answer."""
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

    async def _from_peers(self, peers: Sequence[EntryClient]) -> bool:
        for client in peers:
            match await fetch_view(client, self._view, self._on_rows):
                case Success(True):
                    return True
        return False
