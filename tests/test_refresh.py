from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Result, Success

from lycheelug.entries.client import EntryClient
from lycheelug.entries.join import join, remove_entry
from lycheelug.entries.messages import Digest, ViewReply, ViewRequest
from lycheelug.entries.refresh import Refresh
from lycheelug.errors import (
    ENTRY_UNREACHABLE,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.fleet_view import FleetView
from lycheelug.membership import Members
from lycheelug.pause import PauseDetector
from lycheelug.records import EntryRow
from lycheelug.store.memory import MemoryPlatform
from lycheelug.store.watch import Watch

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.store.interface import (
        Commit,
        Conflict,
        Delta,
        Row,
        Transaction,
    )

ENTRY = EntryRow("e1", "arima", "10.0.0.1:7000", "r5")


class UnreachablePlatform(MemoryPlatform):
    """A platform that can be made unreachable."""

    is_unreachable = False

    async def read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        if self.is_unreachable:
            return Failure(self._fault(Step.READ))
        return await super().read_since(prefix, revision)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        if self.is_unreachable:
            return Failure(self._fault(Step.WRITE))
        return await super().transact(transaction)

    def _fault(self, step: Step) -> Fault:
        return Fault(PLATFORM_UNREACHABLE, step, Peer.PLATFORM)


class PeerClient(EntryClient):
    """A peer in a zone, with its own view."""

    def __init__(self, zone: str, reachable: bool = True) -> None:
        super().__init__("10.0.0.2:7000")
        self.view = FleetView(zone)
        self.reachable = reachable

    async def fetch_view(
        self, request: ViewRequest
    ) -> Result[ViewReply, Fault]:
        if not self.reachable:
            return Failure(Fault(ENTRY_UNREACHABLE, Step.READ, Peer.ENTRY))
        return Success(self.view.rows_since(request.zone, request.revision))


@pytest.mark.parametrize(
    ("name", "is_unreachable", "removed", "peers", "expected"),
    [
        ("platform answers", False, False, [], True),
        ("removed while paused", False, True, [], False),
        (
            "platform unreachable, peer in the zone",
            True,
            False,
            ["arima"],
            True,
        ),
        (
            "platform unreachable, peer in another zone",
            True,
            False,
            ["other"],
            False,
        ),
        (
            "platform unreachable, first peer too",
            True,
            False,
            ["", "arima"],
            True,
        ),
        (
            "platform unreachable, peer without a view",
            True,
            False,
            ["empty"],
            False,
        ),
        ("platform and peers unreachable", True, False, [], False),
        ("removed, known from a peer", True, True, ["arima"], False),
    ],
)
def test_daemon_acts_again_after_a_pause_only_if_refreshed(
    name: str,
    is_unreachable: bool,
    removed: bool,
    peers: list[str],
    expected: bool,
) -> None:
    async def run() -> bool:
        rng = random.Random(1)
        platform = UnreachablePlatform()
        view = FleetView("arima")
        own = Digest(
            "e1", "arima", "r5", 0, ENTRY.address, "ready", 0, 0, [], [], []
        )
        members = Members(own)

        def on_rows(rows: Sequence[Row]) -> None:
            for row in rows:
                if row.key == "entry/e1":
                    entry = ENTRY if row.value else None
                    members.apply_row("e1", entry, 0)

        watch = Watch(platform, view, rng, on_rows, lambda _: None)
        revision = (await join(platform, ENTRY, rng)).unwrap()
        await watch.poll_until(revision)
        pauses = PauseDetector(0.0, 2.0)
        assert not pauses.may_act(60.0)
        if removed:
            await remove_entry(platform, ENTRY, rng)
        clients = [PeerClient(zone, reachable=zone != "") for zone in peers]
        if peers == ["empty"]:
            clients = [PeerClient("arima")]
            view = FleetView("arima")
        for client in clients:
            if peers == ["empty"]:
                continue
            peer_watch = Watch(
                platform, client.view, rng, lambda _: None, lambda _: None
            )
            await peer_watch.poll()
        platform.is_unreachable = is_unreachable
        refresh = Refresh(platform, view, watch, members, pauses, rng, on_rows)
        may_act = await refresh.run(revision, clients)
        assert may_act is pauses.may_act(60.1)
        assert members.is_superseded is (removed and not may_act)
        return may_act

    assert asyncio.run(run()) is expected
