"""A daemon without direct access spreads its calls over good peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from lycheelug.relay import RelayedRows, RelayServer
from lycheelug.store.memory_rows import MemoryRows
from tests.job_world import FaultyRows
from tests.test_relay import NAME

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.rows import RowCommit, RowConflict, RowName


class CountingRows(FaultyRows):
    """One daemon's access to the store that counts its transactions."""

    __slots__ = ("commits",)

    def __init__(self, shared: MemoryRows) -> None:
        super().__init__(shared)
        self.commits = 0

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        self.commits += 1
        return await super().commit(part, expected, writes)


class Fleet:
    """A daemon without direct access, and its peers in order."""

    def __init__(self, peers: int) -> None:
        self.rows = MemoryRows()
        self.direct = FaultyRows(self.rows)
        self.direct.down = True
        self.peers = [CountingRows(self.rows) for _ in range(peers)]
        self.servers = [RelayServer(peer) for peer in self.peers]
        # Added to the daemon's clock.
        self.clock_offset_s = 0.0
        self.store = RelayedRows(
            self.direct,
            lambda: [f"127.0.0.1:{each.port}" for each in self.servers],
            lambda: asyncio.get_running_loop().time() + self.clock_offset_s,
        )

    async def __aenter__(self) -> Fleet:
        for server in self.servers:
            await server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.store.close()
        for server in self.servers:
            await server.stop()

    async def commit(self) -> Result[RowCommit | RowConflict, Fault]:
        """Make a transaction that meets no conflict."""
        return await self.store.commit("p", {}, {NAME: b"v"})


# Guards against incident inc1: after one slow answer a daemon did not call a
# good peer for 4 s, and no peer at all for 0.5 s.
def test_one_slow_answer_does_not_bar_a_peer() -> None:
    async def run() -> None:
        async with Fleet(peers=3) as fleet:
            loop = asyncio.get_running_loop()
            for peer in fleet.peers:
                peer.is_unresponsive = True
            slow = loop.create_task(fleet.store.read("t", "p"))
            while not slow.done():
                assert isinstance(await fleet.store.parts("t"), Success)
                await asyncio.sleep(0.01)
            assert isinstance(await slow, Failure)
            assert isinstance(await fleet.commit(), Success)

    asyncio.run(run())


# Guards against giving up, and then calling nobody for 0.5 s, while peers
# that were not tried have access.
def test_peer_with_access_is_found_behind_three_without() -> None:
    async def run() -> None:
        async with Fleet(peers=5) as fleet:
            for peer in fleet.peers[:4]:
                peer.down = True
            assert isinstance(await fleet.commit(), Success)

    asyncio.run(run())


# Guards against asking the peers without access again every second, before
# the one that relays calls.
def test_peer_without_access_is_a_last_resort() -> None:
    async def run() -> None:
        async with Fleet(peers=2) as fleet:
            first, second = fleet.peers
            first.down = True
            assert isinstance(await fleet.commit(), Success)
            refused = first.commits
            fleet.clock_offset_s = 2.0
            assert isinstance(await fleet.commit(), Success)
            assert first.commits == refused
            first.down = False
            second.down = True
            assert isinstance(await fleet.commit(), Success)

    asyncio.run(run())


# Guards against incident inc1: all calls of a daemon went through one peer.
def test_relayed_calls_are_spread_over_several_peers() -> None:
    async def run() -> None:
        async with Fleet(peers=4) as fleet:
            for _ in range(12):
                assert isinstance(await fleet.commit(), Success)
            assert [peer.commits for peer in fleet.peers] == [4, 4, 4, 0]

    asyncio.run(run())
